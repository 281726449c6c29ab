/** Registration of this vm in the store, compared with what its change feed shows. */

import type {Feed} from '@guavapitch/feed';
import {
	createVmRegistration, type RegistrationState, type VmRegistration, type VmRegistrationContext,
} from '@guavapitch/roles';
import {EVENTS} from '@guavapitch/telemetry';
import {MEMBER_PREFIX, STORE_PREFIX} from './cluster-view.js';
import type {VmContext} from './context.js';
import {formatMember} from './members.js';

/** Dependencies of the registration of this vm. */
export type RegistrationDependencies = Pick<VmRegistrationContext, 'onFailure'> & Readonly<{
	getFeed: () => Pick<Feed, 'get' | 'getAgeMs' | 'getCompleteAt' | 'recordContact'>;
}>;

/** Creates the registration of this vm and reports its state as events and metrics. */
export const createRegistration = (context: VmContext, {getFeed, onFailure}: RegistrationDependencies): VmRegistration => {
	const {settings, emit, metrics} = context;
	const key = `${MEMBER_PREFIX}${settings.vm}`;

	const reportState = (state: RegistrationState) => {
		const isRegistered = state === 'registered';
		metrics.gauge('registered', Number(isRegistered));
		metrics.count('registrations', {state});
		emit(isRegistered ? EVENTS.vmRegistered : EVENTS.registrationLost, {
			state, ageMs: Math.round(Math.min(getFeed().getAgeMs(), Number.MAX_SAFE_INTEGER)),
		});
	};

	return createVmRegistration({
		...context,
		key,
		value: formatMember({
			vm: settings.vm, run: settings.run, dataCentre: settings.dataCentre, host: settings.host, port: settings.port, capacity: settings.capacity,
		}),
		getKnownEntry: () => ({entry: getFeed().get(key), completeAt: getFeed().getCompleteAt(STORE_PREFIX)}),
		onStateChange: reportState,
		onContact(sentAt, era) {
			getFeed().recordContact(sentAt, era);
		},
		onFailure,
	});
};
