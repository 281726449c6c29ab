/** Detects that a vm can no longer reach any other data centre. */

import type {DataCentreId, VmId, World} from '@guavapitch/core';
import type {Member} from './members.js';

/** Dependencies of the isolation detector. */
export type IsolationDetectorContext = Readonly<{
	world: World;
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
	/** Called when a vm could not be reached: checks whether any vm of another data centre can be. */
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
		const start = Math.floor(context.world.random() * members.length);
		return [...members.slice(start), ...members.slice(0, start)].slice(0, PROBED_VMS_PER_DATA_CENTRE);
	});
};

/** Creates a detector, which starts as not isolated. */
export const createIsolationDetector = (context: IsolationDetectorContext): IsolationDetector => {
	let isolated = false;
	let checking = false;

	/** Probes the other data centres, and repeats this until one of them answers. */
	const checkIsolation = async (): Promise<void> => {
		checking = true;
		do {
			const probed = chooseProbedVms(context);
			const results = await Promise.all(probed.map(async member => context.ping(member)));
			const isIsolatedNow = probed.length > 0 && !results.includes(true);
			if (isIsolatedNow !== isolated) {
				isolated = isIsolatedNow;
				context.onChange(isolated);
			}

			if (isolated) {
				await context.world.sleep(CHECK_INTERVAL_MS);
			}
		} while (isolated);

		checking = false;
	};

	return {
		handleUnreachable(member) {
			if (!checking && member.dataCentre !== context.dataCentre) {
				void checkIsolation();
			}
		},
		isIsolated: () => isolated,
	};
};
