/** Names of the roles that one vm at a time holds. */

import {brandId, type DatabaseId} from '@guavapitch/core';

/** Role of the quota allocator, which serves all customers. */
export const ALLOCATOR_ROLE = 'shares';

const COORDINATOR_PREFIX = 'database/';

/** Formats the name of the failover coordinator's role for a database. */
export const formatCoordinatorRole = (database: DatabaseId): string => `${COORDINATOR_PREFIX}${database}`;

/** Parses the database whose failover coordinator a role is; returns `undefined` for any other role. */
export const parseCoordinatorRole = (role: string): DatabaseId | undefined => role.startsWith(COORDINATOR_PREFIX)
	? brandId<DatabaseId>(role.slice(COORDINATOR_PREFIX.length))
	: undefined;
