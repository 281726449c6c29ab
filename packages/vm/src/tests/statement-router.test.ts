/** Guards against a write that runs twice because it was retried at another owner, a lost call reported with a wrong outcome, and databases that move between owners without need. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createDeadline, createVirtualRuntime, Err, Ok, brandId, type CustomerId, type DatabaseId, type DataCentreId, type Result, type VmId,
} from '@guavapitch/core';
import type {StatementResponse, StatementRequest, TargetStatement} from '@guavapitch/sessions';
import {createKnownPositions} from '../known-positions.js';
import {
	rankBalancedOwners, rankOwners, rankRelays, type Member,
} from '../members.js';
import type {CallFailure} from '../peer-client.js';
import {createStatementRouter} from '../statement-router.js';

const createMember = (name: string, dataCentre = 'here', capacity = 1, createdRevision = 1): Member => ({
	vm: brandId<VmId>(name), run: `${name}-1`, dataCentre: brandId<DataCentreId>(dataCentre), host: name, port: 1, capacity, createdRevision,
});
const MEMBERS = [createMember('one'), createMember('two')];
const RESPONSE: StatementResponse = {
	outcome: {kind: 'done', rows: [], signature: 's'}, status: 'idle', position: undefined, target: 't', waitedMs: 0,
};

const createRequest = (statement: TargetStatement, transaction?: StatementRequest['transaction']): StatementRequest => ({
	id: 'q',
	database: brandId<DatabaseId>('ledger'),
	customer: brandId<CustomerId>('c'),
	statement,
	consistency: {kind: 'latest'},
	floor: undefined,
	values: [],
	transaction,
	remainingMs: 1000,
	promptMs: 100,
	priority: 1,
});
const READ: TargetStatement = {kind: 'text', access: 'read', text: 'READ a'};
const WRITE: TargetStatement = {kind: 'text', access: 'write', text: 'WRITE a b'};

const createSetup = (call: (vm: VmId) => Result<StatementResponse, CallFailure> | Promise<Result<StatementResponse, CallFailure>>, members: readonly Member[] = MEMBERS) => {
	const {runtime, advance} = createVirtualRuntime();
	const calledVms: VmId[] = [];
	const requests: StatementRequest[] = [];
	const unreachable = new Set<DataCentreId>();
	const callbacks = new Set<() => void>();
	const router = createStatementRouter({
		runtime,
		readSuspensionClock: runtime.now,
		self: brandId<VmId>('self'),
		knownPositions: createKnownPositions(runtime.now),
		rankOwners: () => members,
		isUsable: () => true,
		isReachable: dataCentre => !unreachable.has(dataCentre),
		onUnreachable(_dataCentre, callback) {
			callbacks.add(callback);
			return () => {
				callbacks.delete(callback);
			};
		},
		async callOwner({vm}, request) {
			calledVms.push(vm);
			requests.push(request);
			return call(vm);
		},
		serveLocally: async () => RESPONSE,
		rollBackAt: () => undefined,
		onRetry: () => undefined,
	});
	const loseDataCentre = (dataCentre: DataCentreId) => {
		unreachable.add(dataCentre);
		for (const callback of callbacks) {
			callback();
		}
	};

	return {
		calledVms, requests, advance, loseDataCentre, run: async (request: StatementRequest) => router.run(request, createDeadline(runtime.now(), 1000)),
	};
};

const failAtFirstOwner = (code: CallFailure['code']) => (vm: VmId): Result<StatementResponse, CallFailure> => vm === 'one' ? Err({code, message: code}) : Ok(RESPONSE);

describe('statement router', () => {
	it('retries a write at another owner only if it was not sent', async () => {
		const notSent = createSetup(failAtFirstOwner('notSent'));
		assert.equal((await notSent.run(createRequest(WRITE))).outcome.kind, 'done');
		assert.deepEqual(notSent.calledVms, ['one', 'two']);
		const lost = createSetup(failAtFirstOwner('lost'));
		assert.equal((await lost.run(createRequest(WRITE))).outcome.kind, 'unknown');
		assert.deepEqual(lost.calledVms, ['one']);
	});

	it('retries a read at another owner even if it may have run', async () => {
		const {calledVms, run} = createSetup(failAtFirstOwner('lost'));
		assert.equal((await run(createRequest(READ))).outcome.kind, 'done');
		assert.deepEqual(calledVms, ['one', 'two']);
	});

	it('reports a transaction whose owner is lost as aborted before the commit, and as unknown during it', async () => {
		const transaction = {id: 't', readOnly: false, isFirst: true};
		const {run} = createSetup(failAtFirstOwner('lost'));
		const aborted = await run(createRequest(WRITE, transaction));
		assert.equal(aborted.outcome.kind === 'refused' && aborted.outcome.code, 'aborted');
		assert.equal((await run(createRequest({kind: 'commit', text: 'COMMIT'}, transaction))).outcome.kind, 'unknown');
	});

	it('refuses a statement if no owner can be reached', async () => {
		const {run} = createSetup(() => Err({code: 'notSent', message: 'refused'}));
		assert.equal((await run(createRequest(WRITE))).outcome.kind, 'refused');
	});
});

describe('statement router with an unreachable data centre', () => {
	const far = brandId<DataCentreId>('far');
	const members = [createMember('far1', 'far'), createMember('far2', 'far'), createMember('near', 'near')];
	const neverAnswered = new Promise<never>(() => {
		// Stays pending.
	});
	const answerNear = (vm: VmId): Result<StatementResponse, CallFailure> | Promise<never> => vm === 'near' ? Ok(RESPONSE) : neverAnswered;

	describe('when it becomes unreachable during a call', () => {
		it('runs a read elsewhere at once instead of waiting until each of its vms counts as lost', async () => {
			const {calledVms, advance, loseDataCentre, run} = createSetup(answerNear, members);
			const response = run(createRequest(READ));
			await advance(10);
			loseDataCentre(far);
			assert.equal((await response).outcome.kind, 'done');
			assert.deepEqual(calledVms, ['far1', 'near']);
		});

		it('aborts a transaction, and goes on waiting for a write that may have been sent', async () => {
			const {advance, loseDataCentre, run} = createSetup(answerNear, members);
			const inTransaction = run(createRequest(READ, {id: 't', readOnly: false, isFirst: true}));
			let isWriteAnswered = false;
			void run(createRequest(WRITE)).then(() => {
				isWriteAnswered = true;
			});
			await advance(10);
			loseDataCentre(far);
			const {outcome} = await inTransaction;
			assert.equal(outcome.kind === 'refused' && outcome.code, 'aborted');
			assert.ok(!isWriteAnswered);
		});
	});

	it('passes over its vms afterwards', async () => {
		const {calledVms, loseDataCentre, run} = createSetup(answerNear, members);
		loseDataCentre(far);
		assert.equal((await run(createRequest(WRITE))).outcome.kind, 'done');
		assert.deepEqual(calledVms, ['near']);
	});

	it('tells another owner the last verified position, counted from when the first owner was asked', async () => {
		const verified = {position: {term: 3, number: 9}, ageMs: 40};
		const {requests, advance, loseDataCentre, run} = createSetup(vm => Ok(vm === 'far1' ? {...RESPONSE, verified} : RESPONSE), members);
		await run(createRequest(READ));
		await run(createRequest(READ));
		await advance(500);
		loseDataCentre(far);
		await run(createRequest(READ));
		assert.deepEqual(requests.map(request => request.verified), [undefined, undefined, {position: verified.position, ageMs: 540}]);
	});
});

describe('ranking of owners and relays', () => {
	it('ranks vms with little capacity behind the others of their data centre', () => {
		const members = [
			...Array.from({length: 9}, (_, index) => createMember(`weak${index}`, 'here', 0.227)),
			createMember('strong', 'here', 1.35),
			createMember('able', 'here', 0.9),
			createMember('far', 'there', 5),
		];
		for (let key = 0; key < 200; key++) {
			const ranked = rankOwners(`db${key}`, members, brandId<DataCentreId>('here')).map(({vm}) => vm);
			assert.deepEqual(new Set(ranked.slice(0, 2)), new Set(['strong', 'able']));
			assert.equal(ranked.at(-1), 'far');
		}
	});

	it('ranks vms of the preferred data centre first, and distributes databases among them in proportion to their capacity', () => {
		const members = [...Array.from({length: 20}, (_, index) => createMember(`near${index}`, 'here', index < 10 ? 3 : 2)), createMember('far', 'there', 9)];
		const counts = new Map<string, number>();
		for (let key = 0; key < 2000; key++) {
			const [topOwner] = rankOwners(`db${key}`, members, brandId<DataCentreId>('here'));
			counts.set(String(topOwner?.capacity), (counts.get(String(topOwner?.capacity)) ?? 0) + 1);
		}

		assert.equal(counts.get('9'), undefined);
		const strongCount = counts.get('3') ?? 0;
		assert.ok(strongCount > 2000 * 0.55 && strongCount < 2000 * 0.65, `${strongCount} of 2000 at the strong vms`);
	});

	describe('with few vms of enough capacity', () => {
		const here = brandId<DataCentreId>('here');
		const listDatabases = (count: number, start = 0) => Array.from({length: count}, (_, index) => ({id: brandId<DatabaseId>(`db${start + index}`), preferredDataCentre: here}));
		const unequalMembers = [
			...Array.from({length: 9}, (_, index) => createMember(`weak${index}`, 'here', 0.3)),
			createMember('strong1', 'here', 1.35),
			createMember('strong2', 'here', 1.35),
			createMember('far', 'there', 5),
		];

		it('gives each of them its part of the databases, where hashing alone would give one of them most', () => {
			for (let start = 0; start < 400; start += 4) {
				const owners = [...rankBalancedOwners(listDatabases(4, start), unequalMembers).values()].map(([owner]) => owner?.vm);
				assert.deepEqual(['strong1', 'strong2'].map(name => owners.filter(vm => vm === name).length), [2, 2]);
			}
		});

		it('assigns databases alike whatever the order in which a vm knows them', () => {
			const databases = listDatabases(7);
			const [ranks, otherRanks] = [rankBalancedOwners(databases, unequalMembers), rankBalancedOwners(databases.toReversed(), unequalMembers.toReversed())];
			assert.ok(databases.every(({id}) => ranks.get(id)?.[0] === otherRanks.get(id)?.[0]));
		});

		it('keeps the databases of the other vms of equal capacity mostly where they are when one leaves', () => {
			const members = Array.from({length: 20}, (_, index) => createMember(`vm${index}`));
			const databases = listDatabases(200);
			const before = rankBalancedOwners(databases, members);
			const after = rankBalancedOwners(databases, members.slice(1));
			const moved = databases.filter(({id}) => before.get(id)?.[0] !== members[0] && before.get(id)?.[0] !== after.get(id)?.[0]);
			assert.ok(moved.length < 40, `${moved.length} of 190`);
		});
	});

	it('moves only the databases of a vm that leaves the fleet', () => {
		const members = Array.from({length: 20}, (_, index) => createMember(`vm${index}`));
		const keys = Array.from({length: 500}, (_, index) => `db${index}`);
		const movedKeys = keys.filter(key => rankOwners(key, members, undefined)[0] !== rankOwners(key, members.slice(1), undefined)[0]);
		assert.ok(movedKeys.every(key => rankOwners(key, members, undefined)[0] === members[0]));
	});

	describe('of relays', () => {
		const members = [createMember('c', 'here', 1, 30), createMember('a', 'here', 1, 10), createMember('b', 'here', 1, 20), createMember('x', 'there', 1, 1), createMember('y', 'there', 1, 40)];
		const listRelays = (name: string, dataCentre: string) => rankRelays(brandId<VmId>(name), brandId<DataCentreId>(dataCentre), members).map(({vm}) => vm);

		it('lists the older vms of the data centre, oldest first', () => {
			assert.deepEqual(listRelays('c', 'here'), ['a', 'b']);
			assert.deepEqual(listRelays('y', 'there'), ['x']);
		});

		it('lists older vms of other data centres for the oldest one of a data centre, and none for the oldest one of all', () => {
			assert.deepEqual(listRelays('a', 'here'), ['x']);
			assert.deepEqual(listRelays('x', 'there'), []);
		});

		it('lists vms of the data centre, or else the oldest ones, for a vm that is not a member yet', () => {
			assert.deepEqual(listRelays('new', 'here'), ['a', 'b', 'c']);
			assert.deepEqual(listRelays('new', 'elsewhere'), ['x', 'a']);
		});

		it('never lets a vm follow itself through others', () => {
			for (const {vm, dataCentre} of members) {
				const reached = new Set<string>();
				const pending: string[] = [vm];
				while (pending.length > 0) {
					const name = pending.pop() ?? '';
					for (const relay of listRelays(name, members.find(member => member.vm === name)?.dataCentre ?? dataCentre)) {
						if (!reached.has(relay)) {
							reached.add(relay);
							pending.push(relay);
						}
					}
				}

				assert.ok(!reached.has(vm), vm);
			}
		});
	});
});
