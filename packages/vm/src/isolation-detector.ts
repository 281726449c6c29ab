/** Notices that a vm can no longer reach any other data centre. */

import type {DataCentreId, VmId, World} from '@guavapitch/core';
import type {Member} from './members.js';

/** What noticing needs. */
export type IsolationDetectorContext = Readonly<{
	world: World;
	vm: VmId;
	dataCentre: DataCentreId;
	listMembers: () => readonly Member[];
	/** Asks a vm for a sign of life. */
	ping: (member: Member) => Promise<boolean>;
	onChange: (isIsolated: boolean) => void;
}>;

/** Belief of a vm about its data centre. */
export type IsolationDetector = Readonly<{
	/** A vm could not be reached: looks whether any vm of another data centre can. */
	handleUnreachable: (member: Member) => void;
	isIsolated: () => boolean;
}>;

/** Vms of each other data centre that are asked. */
const WITNESSES = 2;
/** Pause between looks while no other data centre answers, in milliseconds. */
const LOOK_MS = 300;

/** Chooses some vms of each other data centre. */
const chooseWitnesses = (context: IsolationDetectorContext): readonly Member[] => {
	const byCentre = new Map<DataCentreId, Member[]>();
	for (const member of context.listMembers()) {
		if (member.dataCentre !== context.dataCentre) {
			byCentre.set(member.dataCentre, [...byCentre.get(member.dataCentre) ?? [], member]);
		}
	}

	return [...byCentre.values()].flatMap(members => {
		const start = Math.floor(context.world.random() * members.length);
		return [...members.slice(start), ...members.slice(0, start)].slice(0, WITNESSES);
	});
};

/** Creates the belief of a vm that takes itself for connected. */
export const createIsolationDetector = (context: IsolationDetectorContext): IsolationDetector => {
	let isolated = false;
	let looking = false;

	const look = async (): Promise<void> => {
		looking = true;
		do {
			const witnesses = chooseWitnesses(context);
			const answers = await Promise.all(witnesses.map(async member => context.ping(member)));
			const next = witnesses.length > 0 && !answers.includes(true);
			if (next !== isolated) {
				isolated = next;
				context.onChange(isolated);
			}

			if (isolated) {
				await context.world.sleep(LOOK_MS);
			}
		} while (isolated);

		looking = false;
	};

	return {
		handleUnreachable(member) {
			if (!looking && member.dataCentre !== context.dataCentre) {
				void look();
			}
		},
		isIsolated: () => isolated,
	};
};
