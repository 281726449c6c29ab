/** Branded types: nominal types over primitives. */

declare const brand: unique symbol;

/** A primitive that the compiler does not confuse with another one of the same type. */
export type Brand<Value, Name extends string> = Value & {readonly [brand]: Name};
