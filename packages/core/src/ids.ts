/** Identifiers of the things an inventory names. */

import type {Brand} from './brand.js';

/** Name of an entry vm. */
export type VmId = Brand<string, 'VmId'>;

/** Name of a data centre. */
export type DataCentreId = Brand<string, 'DataCentreId'>;

/** Name of a customer. */
export type CustomerId = Brand<string, 'CustomerId'>;

/** Name of a database: one primary and its replicas. */
export type DatabaseId = Brand<string, 'DatabaseId'>;

/** Name of one back end of a database. */
export type TargetId = Brand<string, 'TargetId'>;

/** Name of a service, which callers give as their database name. */
export type ServiceId = Brand<string, 'ServiceId'>;

/** Identifier of one request, unique over the fleet. */
export type RequestId = Brand<string, 'RequestId'>;

/** Brands a checked string as an identifier. */
export const parseId = <Id extends string>(text: string): Id => text as Id;
