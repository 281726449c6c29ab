/** Detects that a vm can reach no vm of any other data centre. */

import type {DataCentreId, VmId, Runtime} from '@guavapitch/core';
import type {Member} from './members.js';

/** Dependencies of the isolation detector. */
export type IsolationDetectorContext = Readonly<{
	runtime: Runtime;
	vm: VmId;
	dataCentre: DataCentreId;
	listMembers: () => readonly Member[];
	/** Sends a liveness probe to a vm; resolves to whether it answered. */
	ping: (member: Member) => Promise<boolean>;
	/** Called when the data centre becomes isolated, and when another one answers again. */
	onChange: (isIsolated: boolean) => void;
}>;

/** Detects whether the data centre of a vm is isolated from all others. */
export type IsolationDetector = Readonly<{
	/** To be called when a vm could not be reached; a vm of another data centre starts a check unless one is in progress. */
	handleUnreachable: (member: Member) => void;
	isIsolated: () => boolean;
}>;

/** Number of vms probed in each other data centre. */
const PROBED_VMS_PER_DATA_CENTRE = 2;
/** Pause between checks while no other data centre answers, in milliseconds. */
const CHECK_INTERVAL_MS = 300;

/** Chooses the vms to probe, some of each other data centre. */
const chooseProbedVms = (context: IsolationDetectorContext): readonly Member[] => {
	const byDataCentre = new Map<DataCentreId, Member[]>();
	for (const member of context.listMembers()) {
		if (member.dataCentre !== context.dataCentre) {
			byDataCentre.set(member.dataCentre, [...byDataCentre.get(member.dataCentre) ?? [], member]);
		}
	}

	return [...byDataCentre.values()].flatMap(members => {
		const startIndex = Math.floor(context.runtime.random() * members.length);
		return [...members.slice(startIndex), ...members.slice(0, startIndex)].slice(0, PROBED_VMS_PER_DATA_CENTRE);
	});
};

/** Creates a detector, which starts as not isolated. */
export const createIsolationDetector = (context: IsolationDetectorContext): IsolationDetector => {
	let isDataCentreIsolated = false;
	let isChecking = false;

	/** Probes vms of the other data centres, and repeats this until one of them answers. */
	const checkIsolation = async (): Promise<void> => {
		isChecking = true;
		do {
			const probedVms = chooseProbedVms(context);
			const pingResults = await Promise.all(probedVms.map(async member => context.ping(member)));
			const isIsolatedNow = probedVms.length > 0 && !pingResults.includes(true);
			if (isIsolatedNow !== isDataCentreIsolated) {
				isDataCentreIsolated = isIsolatedNow;
				context.onChange(isDataCentreIsolated);
			}

			if (isDataCentreIsolated) {
				await context.runtime.sleep(CHECK_INTERVAL_MS);
			}
		} while (isDataCentreIsolated);

		isChecking = false;
	};

	return {
		handleUnreachable(member) {
			if (!isChecking && member.dataCentre !== context.dataCentre) {
				void checkIsolation();
			}
		},
		isIsolated: () => isDataCentreIsolated,
	};
};
