/** Which vms are alive: pings of a few, suspicion before death, and word of mouth. */

import {
	createDeadline, isPast, NEVER, type DataCentreId, type Deadline, type VmId, type World,
} from '@guavapitch/core';

/** Address and place of a vm, as the platform's list says. */
export type VmEntry = Readonly<{
	vm: VmId;
	dataCentre: DataCentreId;
	/** Address of the inner protocol. */
	host: string;
	port: number;
	/** State in the platform's list, which lags. */
	state: 'live' | 'leaving' | 'gone';
}>;

/** State of a vm as its peers see it. */
export type MemberStatus = 'alive' | 'suspect' | 'dead' | 'leaving';

/** What one vm says of another. */
export type MemberUpdate = Readonly<{
	vm: VmId;
	/** Identifier of the run of the process; unknown before the first contact. */
	incarnation: string;
	/** Version of the news within a run: a vm refutes what is said of it by a higher one. */
	version: number;
	status: MemberStatus;
}>;

/** A vm with its state. */
export type Member = VmEntry & MemberUpdate;

/** Members as one process sees them. */
export type Members = Readonly<{
	/** Takes the platform's list. */
	applyVmList: (entries: readonly VmEntry[]) => void;
	/** Takes what a peer says. */
	applyUpdates: (news: readonly MemberUpdate[]) => void;
	/** Notes that a vm answered. */
	recordResponse: (vm: VmId, incarnation: string) => void;
	/** Notes that a vm did not answer. */
	recordTimeout: (vm: VmId) => void;
	/** Declares suspects dead whose deadline has passed. */
	expireSuspects: () => void;
	/** Says that this vm is leaving. */
	markLeaving: () => void;
	get: (vm: VmId) => Member | undefined;
	/** Gets the vms that may be given work, this one included. */
	getLive: (dataCentre?: DataCentreId) => readonly Member[];
	/** Gets every vm of the list. */
	getAll: () => readonly Member[];
	/** Gets a number that grows whenever the answer of `getLive` may have changed. */
	getVersion: () => number;
	/** Chooses the news to pass on with the next message. */
	chooseUpdates: () => readonly MemberUpdate[];
}>;

/** Who this process is. */
export type LocalMember = VmEntry & Readonly<{incarnation: string}>;

type State = {
	entry: VmEntry;
	news: MemberUpdate;
	suspectUntil: Deadline;
	/** How often this news may still be passed on. */
	tellings: number;
};

const SUSPECT_MS = 600;
const TELLINGS = 8;
const NEWS_LIMIT = 12;
const STATUS_ORDER: Readonly<Record<MemberStatus, number>> = {
	alive: 0, suspect: 1, leaving: 2, dead: 3,
};

const isNewer = (news: MemberUpdate, known: MemberUpdate): boolean => {
	if (news.incarnation !== known.incarnation && known.incarnation !== '') {
		// Another run of the process: it has said so itself, or it has been seen by somebody.
		return news.status === 'alive';
	}

	return news.version > known.version || (news.version === known.version && STATUS_ORDER[news.status] > STATUS_ORDER[known.status]);
};

/** Creates the members, with only this vm in them. */
export const createMembers = (self: LocalMember, world: World, onChange: (member: Member, before: MemberStatus | undefined) => void): Members => {
	const states = new Map<VmId, State>();
	let ownNews: MemberUpdate = {
		vm: self.vm, incarnation: self.incarnation, version: 1, status: 'alive',
	};

	let changes = 0;

	const change = (state: State, news: MemberUpdate) => {
		changes++;
		const before = state.news.status;
		const isFirst = state.news.incarnation === '' && news.incarnation !== '';
		state.news = news;
		state.tellings = TELLINGS;
		state.suspectUntil = news.status === 'suspect' ? createDeadline(world.now(), SUSPECT_MS) : NEVER;
		if (before !== news.status || isFirst) {
			onChange({...state.entry, ...news}, before);
		}
	};

	const refute = (news: MemberUpdate) => {
		if (news.incarnation === self.incarnation && news.status !== 'alive' && news.version >= ownNews.version && ownNews.status === 'alive') {
			ownNews = {...ownNews, version: news.version + 1};
		}
	};

	const getOwn = (): Member => ({...self, ...ownNews});
	const getMember = (state: State): Member => ({...state.entry, ...state.news});

	return {
		getVersion: () => changes,
		applyVmList(entries) {
			changes++;
			for (const entry of entries) {
				if (entry.vm === self.vm) {
					continue;
				}

				const known = states.get(entry.vm);
				if (known) {
					known.entry = entry;
				} else {
					states.set(entry.vm, {
						entry,
						news: {
							vm: entry.vm, incarnation: '', version: 0, status: 'alive',
						},
						suspectUntil: NEVER,
						tellings: 0,
					});
				}
			}
		},
		applyUpdates(news) {
			for (const one of news) {
				if (one.vm === self.vm) {
					refute(one);
					continue;
				}

				const state = states.get(one.vm);
				if (state && isNewer(one, state.news)) {
					change(state, one);
				}
			}
		},
		recordResponse(vm, incarnation) {
			const state = states.get(vm);
			if (!state) {
				return;
			}

			const {news} = state;
			if (news.incarnation !== incarnation) {
				change(state, {
					vm, incarnation, version: 1, status: 'alive',
				});
			} else if (news.status === 'suspect' || news.status === 'dead') {
				change(state, {...news, version: news.version + 1, status: 'alive'});
			}
		},
		recordTimeout(vm) {
			const state = states.get(vm);
			if (state?.news.status === 'alive') {
				change(state, {...state.news, status: 'suspect'});
			}
		},
		expireSuspects() {
			for (const state of states.values()) {
				if (state.news.status === 'suspect' && isPast(state.suspectUntil, world.now())) {
					change(state, {...state.news, status: 'dead'});
				}
			}
		},
		markLeaving() {
			changes++;
			ownNews = {...ownNews, version: ownNews.version + 1, status: 'leaving'};
		},
		get: vm => vm === self.vm ? getOwn() : [states.get(vm)].filter(state => state !== undefined).map(state => getMember(state))[0],
		getLive(dataCentre) {
			return [getOwn(), ...[...states.values()].map(state => getMember(state))]
				.filter(member => (member.status === 'alive' || member.status === 'suspect') && member.state === 'live')
				.filter(member => dataCentre === undefined || member.dataCentre === dataCentre);
		},
		getAll: () => [getOwn(), ...[...states.values()].map(state => getMember(state))],
		chooseUpdates() {
			const told: MemberUpdate[] = [ownNews];
			const fresh = [...states.values()]
				.filter(state => state.tellings > 0)
				.toSorted((a, b) => b.tellings - a.tellings)
				.slice(0, NEWS_LIMIT);
			for (const state of fresh) {
				state.tellings--;
				told.push(state.news);
			}

			return told;
		},
	};
};
