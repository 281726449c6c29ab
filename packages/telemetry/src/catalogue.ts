/** Catalogue of the numbered events; docs/EVENTS.md lists the same events. */

/** Severity of an event. */
export type Level = 'info' | 'warn' | 'error';

/** One kind of event. */
export type EventKind = Readonly<{
	/** Event number, never reused. */
	id: number;
	/** Severity. */
	level: Level;
	/** What happened, in a few words. */
	title: string;
}>;

const createEventKind = (id: number, level: Level, title: string): EventKind => ({id, level, title});

/** All kinds of events. */
export const EVENTS = {
	processStarted: createEventKind(1001, 'info', 'process started'),
	processDraining: createEventKind(1002, 'info', 'process draining'),
	processStopped: createEventKind(1003, 'info', 'process stopped'),
	taskFailed: createEventKind(1004, 'error', 'task ended by an exception'),
	configurationApplied: createEventKind(1101, 'info', 'configuration active'),
	configurationRejected: createEventKind(1102, 'error', 'configuration rejected'),
	configurationStale: createEventKind(1103, 'warn', 'configuration may be stale'),
	storeUnreachable: createEventKind(1104, 'warn', 'store unreachable'),
	storeReachable: createEventKind(1105, 'info', 'store reachable again'),
	storeRestored: createEventKind(1106, 'warn', 'store restored from an older copy'),
	evacuationChanged: createEventKind(1107, 'info', 'evacuation of a data centre begun or ended'),
	unknownName: createEventKind(1108, 'warn', 'operators named an unknown data centre or region'),
	callerRefused: createEventKind(1201, 'warn', 'caller refused at startup'),
	callerClosed: createEventKind(1202, 'info', 'caller closed by the proxy'),
	keyWithdrawn: createEventKind(1203, 'info', 'open connection closed, key withdrawn'),
	requestRefused: createEventKind(1301, 'info', 'request refused before it ran'),
	requestUnknown: createEventKind(1302, 'warn', 'request outcome unknown'),
	requestRetried: createEventKind(1303, 'info', 'request retried after an attempt that did not run'),
	targetUnreachable: createEventKind(1401, 'warn', 'target unreachable'),
	targetReachable: createEventKind(1402, 'info', 'target reachable'),
	connectionDialFailed: createEventKind(1403, 'warn', 'opening a connection to a target failed'),
	ownershipGained: createEventKind(1404, 'info', 'ownership of a target gained'),
	ownershipReleased: createEventKind(1405, 'info', 'ownership of a target released'),
	targetsChanged: createEventKind(1406, 'info', 'registered target changed'),
	roleGained: createEventKind(1501, 'info', 'role slot gained'),
	roleLost: createEventKind(1502, 'info', 'role slot lost'),
	roleExtended: createEventKind(1503, 'info', 'role slot extended by promises while the store is unreachable'),
	failoverStarted: createEventKind(1601, 'warn', 'failover started'),
	grantsEnded: createEventKind(1602, 'info', 'all grants of the term ended'),
	recordChanged: createEventKind(1603, 'info', 'group record changed'),
	targetPromoted: createEventKind(1604, 'info', 'target promoted'),
	failoverFinished: createEventKind(1605, 'info', 'failover finished'),
	failoverBlocked: createEventKind(1606, 'error', 'failover blocked'),
	targetRejoined: createEventKind(1607, 'info', 'target instructed to follow the primary'),
	memberSuspected: createEventKind(1701, 'warn', 'vm suspected'),
	memberDead: createEventKind(1702, 'warn', 'vm declared dead'),
	memberJoined: createEventKind(1703, 'info', 'vm joined'),
	peerLost: createEventKind(1704, 'warn', 'connection to a peer lost'),
	frameRefused: createEventKind(1705, 'warn', 'malformed frame refused'),
	targetMalformed: createEventKind(1706, 'warn', 'target entry malformed'),
	feedSourceChanged: createEventKind(1707, 'info', 'change feed source changed'),
	relayRejected: createEventKind(1708, 'info', 'relay of the change feed not followed'),
	ownerDecision: createEventKind(1801, 'info', 'database owner decision'),
	coordinatorDecision: createEventKind(1802, 'info', 'failover coordinator decision'),
	roleClaimed: createEventKind(1803, 'info', 'role claimed'),
	requestDone: createEventKind(1804, 'info', 'request answered'),
	requestFailed: createEventKind(1805, 'info', 'request failed or refused'),
	sessionRefused: createEventKind(1806, 'info', 'session refused at its start'),
	readinessChanged: createEventKind(1807, 'info', 'readiness changed'),
	settingsReloaded: createEventKind(1808, 'info', 'settings reloaded'),
	linesDropped: createEventKind(1809, 'warn', 'log lines dropped'),
	settingsRejected: createEventKind(1810, 'warn', 'settings rejected'),
	callerLimited: createEventKind(1811, 'warn', 'caller closed because of a limit'),
	callerNotAuthorized: createEventKind(1812, 'info', 'caller not authorized by the active configuration'),
	vmRegistered: createEventKind(1813, 'info', 'vm registered in the store'),
	registrationLost: createEventKind(1814, 'warn', 'registration of this vm lost'),
	transactionNotAuthorized: createEventKind(1815, 'info', 'transaction ended because its caller is authorized differently'),
	quotaRegimeChanged: createEventKind(1816, 'info', 'tokens of customers come from another source'),
	standinCommand: createEventKind(1901, 'info', 'stand-in command executed'),
} as const satisfies Readonly<Record<string, EventKind>>;
