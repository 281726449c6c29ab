/** Branded identifiers of vms, databases, customers and the like. */

import type {Brand} from './brand.js';

/** Name of an entry vm. */
export type VmId = Brand<string, 'VmId'>;

/** Name of a data centre. */
export type DataCentreId = Brand<string, 'DataCentreId'>;

/** Name of a region, which holds one or more data centres. */
export type RegionId = Brand<string, 'RegionId'>;

/** Name of a customer. */
export type CustomerId = Brand<string, 'CustomerId'>;

/** Name of a database: one primary and its replicas. */
export type DatabaseId = Brand<string, 'DatabaseId'>;

/** Name of a target: one database server behind the proxy. */
export type TargetId = Brand<string, 'TargetId'>;

/** Name of a service, which callers give as their database name. */
export type ServiceId = Brand<string, 'ServiceId'>;

/** Identifier of one request, unique across the fleet. */
export type RequestId = Brand<string, 'RequestId'>;

/** Brands a string as an identifier, without a check: the string must have been validated. */
export const brandId = <Id extends string>(text: string): Id => text as Id;
