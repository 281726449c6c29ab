/** Appointments of primaries as a vm knows them: records in the store, written by the failover coordinator of each database. */

import {
	Err, Ok, brandId, type DatabaseId, type TargetId,
} from '@guavapitch/core';
import {
	createAppointments, SELF_FENCING_APPOINTMENTS, type Appointment, type Appointments,
} from '@guavapitch/database-owners';
import type {Feed} from '@guavapitch/feed';
import {isTokenOfEra, type RoleClaims, type TokenRecord} from '@guavapitch/roles';
import type {VmContext} from './context.js';
import {APPOINTMENT_PREFIX} from './cluster-view.js';
import {formatCoordinatorRole} from './role-names.js';

/** Appointments of all databases at one vm. */
export type PrimaryAppointments = Readonly<{
	/** Returns the appointments that decide which target of a database leads. */
	get: (database: DatabaseId) => Appointments;
	/** Returns the appointments of a database as they are recorded, also where they do not decide which target leads. */
	getRecorded: (database: DatabaseId) => Appointments;
	/** Returns the record of a database for another vm; `undefined` unless this vm is its coordinator and is not changing it. */
	confirm: (database: DatabaseId) => Appointment | undefined;
	/** Draws a fencing token for an order that makes a target the primary and records the appointment; `undefined` if the store does not respond or this vm is not the coordinator. */
	drawFencingToken: (database: DatabaseId, target: TargetId) => Promise<number | undefined>;
}>;

/** Dependencies of the appointments. */
export type PrimaryAppointmentDependencies = Readonly<{
	getFeed: () => Pick<Feed, 'get' | 'getEra'>;
	getRoleClaims: () => Pick<RoleClaims, 'isHeld' | 'drawFencingToken'>;
	/** Asks the failover coordinator of a database for its record; `undefined` if it does not respond, or is not the coordinator. */
	askCoordinator: (database: DatabaseId) => Promise<unknown>;
}>;

/** Formats the key of the record of an appointment. */
export const formatAppointmentKey = (database: DatabaseId): string => `${APPOINTMENT_PREFIX}${database}`;

const formatRecord = (database: DatabaseId, {target, fencingToken}: Appointment): TokenRecord => ({
	key: formatAppointmentKey(database), value: JSON.stringify({target, token: fencingToken}),
});

/** Parses the record of an appointment; returns `undefined` if it is malformed. */
export const parseAppointment = (text: string): Appointment | undefined => {
	try {
		const record = JSON.parse(text) as Readonly<{target?: unknown; token?: unknown}> | null;
		return typeof record?.target === 'string' && Number.isSafeInteger(record.token)
			? {target: brandId<TargetId>(record.target), fencingToken: record.token as number}
			: undefined;
	} catch {
		return undefined;
	}
};

/** Checks the response of a coordinator; returns `undefined` if it is malformed, as that of another version might be. */
const checkAppointment = (value: unknown): Appointment | undefined => {
	const record = value as Partial<Appointment> | null | undefined;
	return typeof record?.target === 'string' && Number.isSafeInteger(record.fencingToken)
		? {target: record.target, fencingToken: record.fencingToken ?? 0}
		: undefined;
};

/** Creates the appointments of a vm. */
export const createPrimaryAppointments = (context: Pick<VmContext, 'runtime' | 'store' | 'areTargetsSelfFencing'>, dependencies: PrimaryAppointmentDependencies): PrimaryAppointments => {
	const appointmentsByDatabase = new Map<DatabaseId, Appointments>();
	/** Databases for which a token is being drawn: the record may already have changed in the store. */
	const drawingDatabases = new Set<DatabaseId>();

	/** Parses a record; one that was written before the store was restored may have been followed by another that the store has lost, so it counts as none. */
	const parseRecord = (text: string | undefined): Appointment | undefined => {
		const record = text === undefined ? undefined : parseAppointment(text);
		return record && isTokenOfEra(record.fencingToken, dependencies.getFeed().getEra()) ? record : undefined;
	};

	const getRecord = (database: DatabaseId): Appointment | undefined => parseRecord(dependencies.getFeed().get(formatAppointmentKey(database))?.value);

	const isAuthorized = (database: DatabaseId): boolean => !drawingDatabases.has(database) && dependencies.getRoleClaims().isHeld(formatCoordinatorRole(database));

	const createForDatabase = (database: DatabaseId): Appointments => createAppointments({
		runtime: context.runtime,
		getRecord: () => getRecord(database),
		async readRecord() {
			const confirmed = checkAppointment(await dependencies.askCoordinator(database));
			if (confirmed) {
				return Ok(confirmed);
			}

			const read = await context.store.read(formatAppointmentKey(database));
			if (read.err) {
				return read;
			}

			const {value, era} = read.val;
			return era === dependencies.getFeed().getEra()
				? Ok(parseRecord(value))
				: Err({code: 'otherEra', message: 'The store was restored, and this vm has not read it since'});
		},
		isAuthorized: () => isAuthorized(database),
	});

	const getRecorded = (database: DatabaseId): Appointments => {
		const existing = appointmentsByDatabase.get(database);
		if (existing) {
			return existing;
		}

		const created = createForDatabase(database);
		appointmentsByDatabase.set(database, created);
		return created;
	};

	return {
		get: database => context.areTargetsSelfFencing ? SELF_FENCING_APPOINTMENTS : getRecorded(database),
		getRecorded,
		confirm: database => isAuthorized(database) ? getRecord(database) : undefined,
		async drawFencingToken(database, target) {
			drawingDatabases.add(database);
			try {
				return await dependencies.getRoleClaims().drawFencingToken(formatCoordinatorRole(database), fencingToken => formatRecord(database, {target, fencingToken}));
			} finally {
				drawingDatabases.delete(database);
			}
		},
	};
};
