/** Grants: once a steward has ended them, no holder acts under them. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	createDeadline, createVirtualWorld, Err, NEVER, Ok, parseId, type DatabaseId, type TargetId, type VmId,
} from '@guavapitch/core';
import {createDurabilityWaiter} from '../durability.js';
import {ALL_PERMISSIONS, createGrantIssuer, MAX_GRANT_VALIDITY_MS} from '../grant-issuer.js';
import {createGrantRegistry, type GrantReply} from '../grant-registry.js';
import {createGroupRecord, promoteRecord, type GroupView} from '../group-record.js';

const DATABASE = parseId<DatabaseId>('orders');
const PRIMARY = parseId<TargetId>('orders-1');
const REPLICA = parseId<TargetId>('orders-2');

const createView = (revision: number): GroupView => ({revision, record: {...createGroupRecord(DATABASE, PRIMARY, 0, {replicated: true, minimumSynced: 1}), synced: [REPLICA]}});

describe('grants', () => {
	describe('endAll', () => {
		it('leaves no valid grant, whatever messages are late, lost or paused', async () => {
			const holderPlan = fc.record({
				askMs: fc.integer({min: 0, max: 800}), replyMs: fc.integer({min: 0, max: 1500}), revokeMs: fc.integer({min: 0, max: 600}), revokeLost: fc.boolean(),
			});
			await fc.assert(fc.asyncProperty(fc.array(holderPlan, {minLength: 1, maxLength: 5}), fc.integer({min: 0, max: 2000}), async (plans, endAt) => {
				const {world, advance} = createVirtualWorld();
				const granter = createGrantIssuer(world);
				const stop = new AbortController();
				let open = true;
				let ended = false;
				const books = plans.map(() => createGrantRegistry(world));
				const holders = plans.map((_, index) => ({vm: parseId<VmId>(`v${index}`), incarnation: 'i'}));
				const runs = plans.map(async (plan, index) => {
					for (let count = 0; count < 4; count++) {
						const askedAt = world.now();
						await world.sleep(plan.askMs);
						const holder = holders[index];
						const reply = open && holder
							? granter.grant(holder, {
								view: createView(1), permissions: ALL_PERMISSIONS, agesMs: {}, readable: [REPLICA], authorityDeadline: NEVER,
							})
							: undefined;
						await world.sleep(plan.replyMs);
						if (reply) {
							books[index]?.accept(reply, askedAt);
						}
					}
				});
				const ending = (async () => {
					await world.sleep(endAt);
					open = false;
					await granter.revokeAll(ALL_PERMISSIONS, async holder => {
						const index = holders.indexOf(holder);
						const plan = plans[index];
						await world.sleep(plan?.revokeMs ?? 0);
						if (plan?.revokeLost) {
							return Err({code: 'lost', message: 'lost'});
						}

						books[index]?.revoke(DATABASE, ALL_PERMISSIONS);
						return Ok(true);
					}, stop.signal);
					ended = true;
				})();
				for (let step = 0; step < 600; step++) {
					await advance(20);
					if (ended) {
						assert.ok(books.every(book => book.checkWrite(DATABASE, PRIMARY).err), 'a grant is valid after all have ended');
						assert.ok(books.every(book => book.checkAcknowledgement(DATABASE, PRIMARY).err), 'answers may be released after all have ended');
					}
				}

				await Promise.all([...runs, ending]);
			}), {seed: 51, numRuns: 25});
		});

		it('waits out a holder that does not answer', async () => {
			const {world, advance} = createVirtualWorld();
			const granter = createGrantIssuer(world);
			granter.grant({vm: parseId<VmId>('v'), incarnation: 'i'}, {
				view: createView(1), permissions: ALL_PERMISSIONS, agesMs: {}, readable: [REPLICA], authorityDeadline: NEVER,
			});
			let ended = false;
			void granter.revokeAll(ALL_PERMISSIONS, async () => Err({code: 'lost', message: 'lost'}), new AbortController().signal).then(() => {
				ended = true;
			});
			await advance(MAX_GRANT_VALIDITY_MS - 50);
			assert.equal(ended, false);
			await advance(200);
			assert.equal(ended, true);
		});
	});

	describe('grant', () => {
		it('never outlives the authority of the steward', () => {
			const {world} = createVirtualWorld();
			const granter = createGrantIssuer(world);
			const terms = {
				view: createView(1), permissions: ALL_PERMISSIONS, agesMs: {}, readable: [REPLICA],
			};
			const holder = {vm: parseId<VmId>('v'), incarnation: 'i'};
			assert.ok((granter.grant(holder, {...terms, authorityDeadline: createDeadline(world.now(), 300)})?.validMs ?? 0) <= 300);
			assert.equal(granter.grant(holder, {...terms, authorityDeadline: createDeadline(world.now(), 10)}), undefined);
		});
	});

	describe('durability', () => {
		const createReply = (view: GroupView): GrantReply => ({
			view, validMs: MAX_GRANT_VALIDITY_MS, agesMs: {}, readable: [REPLICA], permissions: ALL_PERMISSIONS,
		});

		const run = async (replayedAt: number, change: (book: ReturnType<typeof createGrantRegistry>, world: ReturnType<typeof createVirtualWorld>['world']) => void) => {
			const {world, advance} = createVirtualWorld();
			const book = createGrantRegistry(world);
			book.accept(createReply(createView(1)), world.now());
			const wait = createDurabilityWaiter(book, async () => {
				await world.sleep(1);
				return Ok({position: 100, replayed: new Map([[REPLICA as string, world.now() >= replayedAt ? 100 : 50]])});
			}, world);
			const state = wait({
				database: DATABASE, target: PRIMARY, term: 1, deadline: createDeadline(world.now(), 3000), signal: new AbortController().signal,
			});
			await advance(50);
			change(book, world);
			await advance(5000);
			return state;
		};

		it('waits for every synced replica', async () => {
			assert.equal(await run(200, () => undefined), 'durable');
		});

		it('releases nothing while too few replicas are waited for', async () => {
			const state = await run(200, (book, world) => {
				const view = createView(2);
				book.accept(createReply({...view, record: {...view.record, synced: []}}), world.now());
			});
			assert.equal(state, 'unproved');
		});

		it('never releases an answer of a term that is over', async () => {
			const state = await run(200, (book, world) => {
				const view = createView(2);
				book.accept(createReply({...view, record: promoteRecord(view.record, REPLICA, 100)}), world.now());
			});
			assert.equal(state, 'unproved');
		});

		it('does not release an answer when the grant has run out', async () => {
			assert.equal(await run(1500, () => undefined), 'unproved');
		});
	});
});
