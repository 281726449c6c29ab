/** Nominal types over primitives. */

declare const brand: unique symbol;

/** A primitive that cannot be mixed up with another one of the same shape. */
export type Brand<Value, Name extends string> = Value & {readonly [brand]: Name};
