/** Records of synchronously replicated groups in the store, for the failover coordinators. */

import {
	Err, Ok, type DatabaseId, type TargetId,
} from '@guavapitch/core';
import {
	EMPTY_RECORD, type GroupRecord, type GroupStore, type RegisteredTarget,
} from '@guavapitch/database-owners';
import {isTokenOfEra} from '@guavapitch/roles';
import {STORE_PREFIX} from './cluster-view.js';
import type {VmContext} from './context.js';
import {formatAppointmentKey, parseAppointment} from './primary-appointments.js';

/** Key prefix of the records of groups. */
const GROUP_PREFIX = `${STORE_PREFIX}groups/`;

/** Formats the key of the record of a group. */
export const formatGroupKey = (database: DatabaseId): string => `${GROUP_PREFIX}${database}`;

const isMember = (value: unknown): value is RegisteredTarget => {
	const member = value as Partial<RegisteredTarget> | null | undefined;
	return typeof member?.id === 'string' && typeof member.host === 'string' && typeof member.port === 'number' && typeof member.startedAtMs === 'number';
};

/** Parses the record of a group; returns `undefined` if it is malformed. */
export const parseGroupRecord = (text: string): GroupRecord | undefined => {
	try {
		const record = JSON.parse(text) as Readonly<{members?: unknown; former?: unknown; primary?: unknown}> | null;
		const members: unknown = record?.members;
		const former: unknown = record?.former;
		const areMembers = (value: unknown): value is readonly RegisteredTarget[] => Array.isArray(value) && value.every(member => isMember(member));
		return areMembers(members) && areMembers(former) && (record?.primary === undefined || typeof record.primary === 'string')
			? {members, former, primary: record?.primary as TargetId | undefined}
			: undefined;
	} catch {
		return undefined;
	}
};

/** Creates the group store of a database. A record that cannot be read fails, as members would be missing without it. */
export const createGroupStore = ({store, source, targetPrefix, parseTarget}: Pick<VmContext, 'store' | 'source' | 'targetPrefix' | 'parseTarget'>, database: DatabaseId): GroupStore => {
	const key = formatGroupKey(database);
	return {
		async read() {
			const [group, appointment, targets] = await Promise.all([store.read(key), store.read(formatAppointmentKey(database)), source.readAll(targetPrefix)]);
			if (group.err) {
				return group;
			}

			if (appointment.err) {
				return appointment;
			}

			if (targets.err) {
				return targets;
			}

			const record = group.val.value === undefined ? EMPTY_RECORD : parseGroupRecord(group.val.value);
			if (!record) {
				return Err({code: 'recordMalformed', message: `the record of the group at ${key} is malformed`});
			}

			const appointed = appointment.val.value === undefined ? undefined : parseAppointment(appointment.val.value);
			const registered = targets.val.entries.flatMap(entry => {
				const parsed = parseTarget(entry);
				return parsed.ok ? [parsed.val] : [];
			});
			return Ok({
				record,
				revision: group.val.revision,
				appointed: appointed && isTokenOfEra(appointed.fencingToken, appointment.val.era) ? appointed.target : undefined,
				registered: registered.filter(target => target.database === database),
				unrelated: registered.filter(target => target.database !== database),
			});
		},
		async write(record, revision) {
			const written = await store.transact({conditions: [{key, revision}], puts: [{key, value: JSON.stringify(record), leaseId: undefined}], removes: []});
			return written.ok && written.val.revision !== undefined;
		},
	};
};
