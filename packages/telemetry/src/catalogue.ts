/** Catalogue of the numbered events; docs/EVENTS.md lists the same. */

/** Severity of an event. */
export type Level = 'info' | 'warn' | 'error';

/** One kind of event. */
export type EventKind = Readonly<{
	/** Number, never reused. */
	id: number;
	/** Severity. */
	level: Level;
	/** What has happened, in a few words. */
	title: string;
}>;

const createKind = (id: number, level: Level, title: string): EventKind => ({id, level, title});

/** Every kind of event. */
export const EVENTS = {
	processStarted: createKind(1001, 'info', 'process started'),
	processDraining: createKind(1002, 'info', 'process draining'),
	processStopped: createKind(1003, 'info', 'process stopped'),
	taskFailed: createKind(1004, 'error', 'task ended by an exception'),
	configurationApplied: createKind(1101, 'info', 'configuration in force'),
	configurationRejected: createKind(1102, 'error', 'configuration rejected'),
	configurationStale: createKind(1103, 'warn', 'configuration no longer confirmed fresh'),
	storeUnreachable: createKind(1104, 'warn', 'store unreachable'),
	storeReachable: createKind(1105, 'info', 'store reachable again'),
	callerRefused: createKind(1201, 'warn', 'caller refused at startup'),
	callerClosed: createKind(1202, 'info', 'caller closed by the proxy'),
	keyWithdrawn: createKind(1203, 'info', 'open connection closed, key withdrawn'),
	requestRefused: createKind(1301, 'info', 'request refused, not run'),
	requestUnknown: createKind(1302, 'warn', 'request outcome unknown'),
	requestRetried: createKind(1303, 'info', 'request retried, certainly not run'),
	targetUnreachable: createKind(1401, 'warn', 'target unreachable'),
	targetReachable: createKind(1402, 'info', 'target reachable'),
	connectionDialFailed: createKind(1403, 'warn', 'connection to a target not opened'),
	ownershipGained: createKind(1404, 'info', 'home of a target gained'),
	ownershipReleased: createKind(1405, 'info', 'home of a target given up'),
	roleGained: createKind(1501, 'info', 'role slot gained'),
	roleLost: createKind(1502, 'info', 'role slot lost'),
	roleExtended: createKind(1503, 'info', 'role slot extended by promises while the store is unreachable'),
	failoverStarted: createKind(1601, 'warn', 'failover started'),
	grantsEnded: createKind(1602, 'info', 'all grants of the term ended'),
	recordChanged: createKind(1603, 'info', 'group record changed'),
	targetPromoted: createKind(1604, 'info', 'target promoted'),
	failoverFinished: createKind(1605, 'info', 'failover finished'),
	failoverBlocked: createKind(1606, 'error', 'failover blocked'),
	targetRejoined: createKind(1607, 'info', 'target told to follow the primary'),
	memberSuspected: createKind(1701, 'warn', 'vm suspected'),
	memberDead: createKind(1702, 'warn', 'vm declared dead'),
	memberJoined: createKind(1703, 'info', 'vm joined'),
	peerLost: createKind(1704, 'warn', 'connection to a peer lost'),
	frameRefused: createKind(1705, 'warn', 'malformed frame refused'),
	targetMalformed: createKind(1706, 'warn', 'entry of a target does not parse'),
	feedSourceChanged: createKind(1707, 'info', 'source of the store entries changed'),
	ownerDecision: createKind(1801, 'info', 'decision of a home'),
	coordinatorDecision: createKind(1802, 'info', 'decision of a steward'),
	roleClaimed: createKind(1803, 'info', 'duty claimed'),
	requestDone: createKind(1804, 'info', 'request answered'),
	requestFailed: createKind(1805, 'info', 'request not answered with success'),
	sessionRefused: createKind(1806, 'info', 'session refused at its start'),
	readinessChanged: createKind(1807, 'info', 'readiness changed'),
	settingsReloaded: createKind(1808, 'info', 'settings read again'),
	linesDropped: createKind(1809, 'warn', 'log lines dropped'),
	settingsRejected: createKind(1810, 'warn', 'settings cannot be used'),
	standinCommand: createKind(1901, 'info', 'stand-in command carried out'),
} as const satisfies Readonly<Record<string, EventKind>>;
