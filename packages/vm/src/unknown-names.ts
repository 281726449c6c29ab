/** Reports names of data centres and regions that operators have given and that nothing in the fleet has. */

import type {DataCentreId} from '@guavapitch/core';
import type {Target} from '@guavapitch/database-owners';
import {EVENTS} from '@guavapitch/telemetry';
import type {Configuration} from './configuration.js';
import type {VmContext} from './context.js';
import type {Member} from './members.js';
import {getKnownRegions} from './regions.js';

/** Names given by operators, and what the fleet consists of. */
export type NamedState = Readonly<{
	evacuated: readonly DataCentreId[];
	regionFields: Configuration['regionFields'];
	members: readonly Member[];
	targets: readonly Target[];
}>;

/** Creates the function that reports unknown names, each once for as long as it is given. */
export const createNameReporter = ({settings, emit}: Pick<VmContext, 'settings' | 'emit'>) => {
	let reported: ReadonlySet<string> = new Set();
	return ({evacuated, regionFields, members, targets}: NamedState): void => {
		// Until vms and targets have been read, nothing is known to be missing.
		if (members.length === 0 || targets.length === 0 || (evacuated.length === 0 && regionFields.length === 0 && reported.size === 0)) {
			return;
		}

		const known = new Set<DataCentreId>([...settings.regions.keys(), ...members.map(({dataCentre}) => dataCentre), ...targets.map(({dataCentre}) => dataCentre)]);
		const knownRegions = getKnownRegions(settings);
		const unknown = [
			...evacuated.filter(name => !known.has(name)).map(name => ({field: 'evacuation', name})),
			...regionFields.flatMap(({path, regions}) => regions.filter(name => !knownRegions.has(name)).map(name => ({field: path, name}))),
		];
		for (const {field, name} of unknown) {
			if (!reported.has(`${field} ${name}`)) {
				emit(EVENTS.unknownName, {field, name});
			}
		}

		reported = new Set(unknown.map(({field, name}) => `${field} ${name}`));
	};
};
