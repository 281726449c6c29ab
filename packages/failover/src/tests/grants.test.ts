/** Grants: once the failover coordinator has revoked them, no holder acts under them any more. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	createDeadline, createVirtualRuntime, Err, NEVER, Ok, brandId, type DatabaseId, type TargetId, type VmId,
} from '@guavapitch/core';
import {createDurabilityWaiter} from '../durability.js';
import {ALL_PERMISSIONS, createGrantIssuer, MAX_GRANT_VALIDITY_MS} from '../grant-issuer.js';
import {createGrantRegistry, type GrantResponse} from '../grant-registry.js';
import {createGroupRecord, promoteRecord, type GroupView} from '../group-record.js';

const DATABASE = brandId<DatabaseId>('orders');
const PRIMARY = brandId<TargetId>('orders-1');
const REPLICA = brandId<TargetId>('orders-2');

const createView = (revision: number): GroupView => ({revision, record: {...createGroupRecord(DATABASE, PRIMARY, 0, {replicated: true, minimumSynced: 1}), synced: [REPLICA]}});

describe('grants', () => {
	describe('revokeAll', () => {
		it('leaves no valid grant, even if messages are delayed or lost', async () => {
			const delaysArbitrary = fc.record({
				requestMs: fc.integer({min: 0, max: 800}), responseMs: fc.integer({min: 0, max: 1500}), revocationMs: fc.integer({min: 0, max: 600}), isRevocationLost: fc.boolean(),
			});
			await fc.assert(fc.asyncProperty(fc.array(delaysArbitrary, {minLength: 1, maxLength: 5}), fc.integer({min: 0, max: 2000}), async (delaysByHolder, revokeAtMs) => {
				const {runtime, advance} = createVirtualRuntime();
				const issuer = createGrantIssuer(runtime);
				const stop = new AbortController();
				let isIssuing = true;
				let isRevoked = false;
				const registries = delaysByHolder.map(() => createGrantRegistry(runtime));
				const holders = delaysByHolder.map((_, index) => ({vm: brandId<VmId>(`v${index}`), incarnation: 'i'}));
				const requests = delaysByHolder.map(async (delays, index) => {
					for (let count = 0; count < 4; count++) {
						const sentAt = runtime.now();
						await runtime.sleep(delays.requestMs);
						const holder = holders[index];
						const response = isIssuing && holder
							? issuer.grant(holder, {
								view: createView(1), permissions: ALL_PERMISSIONS, agesMs: {}, readable: [REPLICA], authorityDeadline: NEVER,
							})
							: undefined;
						await runtime.sleep(delays.responseMs);
						if (response) {
							registries[index]?.accept(response, sentAt);
						}
					}
				});
				const revocation = (async () => {
					await runtime.sleep(revokeAtMs);
					isIssuing = false;
					await issuer.revokeAll(ALL_PERMISSIONS, async holder => {
						const index = holders.indexOf(holder);
						const delays = delaysByHolder[index];
						await runtime.sleep(delays?.revocationMs ?? 0);
						if (delays?.isRevocationLost) {
							return Err({code: 'lost', message: 'lost'});
						}

						registries[index]?.revoke(DATABASE, ALL_PERMISSIONS);
						return Ok(true);
					}, stop.signal);
					isRevoked = true;
				})();
				for (let step = 0; step < 600; step++) {
					await advance(20);
					if (isRevoked) {
						assert.ok(registries.every(registry => registry.checkWrite(DATABASE, PRIMARY).err), 'a grant is still valid after all were revoked');
						assert.ok(registries.every(registry => registry.checkAcknowledgement(DATABASE, PRIMARY).err), 'responses may still be sent after all grants were revoked');
					}
				}

				await Promise.all([...requests, revocation]);
			}), {seed: 51, numRuns: 25});
		});

		it('waits for the grant of a holder that does not respond to expire', async () => {
			const {runtime, advance} = createVirtualRuntime();
			const issuer = createGrantIssuer(runtime);
			issuer.grant({vm: brandId<VmId>('v'), incarnation: 'i'}, {
				view: createView(1), permissions: ALL_PERMISSIONS, agesMs: {}, readable: [REPLICA], authorityDeadline: NEVER,
			});
			let isRevoked = false;
			void issuer.revokeAll(ALL_PERMISSIONS, async () => Err({code: 'lost', message: 'lost'}), new AbortController().signal).then(() => {
				isRevoked = true;
			});
			await advance(MAX_GRANT_VALIDITY_MS - 50);
			assert.equal(isRevoked, false);
			await advance(200);
			assert.equal(isRevoked, true);
		});
	});

	describe('grant', () => {
		it('never outlives the authority of the coordinator', () => {
			const {runtime} = createVirtualRuntime();
			const issuer = createGrantIssuer(runtime);
			const parameters = {
				view: createView(1), permissions: ALL_PERMISSIONS, agesMs: {}, readable: [REPLICA],
			};
			const holder = {vm: brandId<VmId>('v'), incarnation: 'i'};
			assert.ok((issuer.grant(holder, {...parameters, authorityDeadline: createDeadline(runtime.now(), 300)})?.validMs ?? 0) <= 300);
			assert.equal(issuer.grant(holder, {...parameters, authorityDeadline: createDeadline(runtime.now(), 10)}), undefined);
		});
	});

	describe('durability', () => {
		const createResponse = (view: GroupView): GrantResponse => ({
			view, validMs: MAX_GRANT_VALIDITY_MS, agesMs: {}, readable: [REPLICA], permissions: ALL_PERMISSIONS,
		});

		const waitWithChange = async (replayedAt: number, change: (registry: ReturnType<typeof createGrantRegistry>, runtime: ReturnType<typeof createVirtualRuntime>['runtime']) => void) => {
			const {runtime, advance} = createVirtualRuntime();
			const registry = createGrantRegistry(runtime);
			registry.accept(createResponse(createView(1)), runtime.now());
			const wait = createDurabilityWaiter(registry, async () => {
				await runtime.sleep(1);
				return Ok({position: 100, replayedPositions: new Map([[REPLICA as string, runtime.now() >= replayedAt ? 100 : 50]])});
			}, runtime);
			const outcome = wait({
				database: DATABASE, target: PRIMARY, term: 1, deadline: createDeadline(runtime.now(), 3000), signal: new AbortController().signal,
			});
			await advance(50);
			change(registry, runtime);
			await advance(5000);
			return outcome;
		};

		it('waits for every synced replica', async () => {
			assert.equal(await waitWithChange(200, () => undefined), 'durable');
		});

		it('does not acknowledge while fewer replicas than the minimum are waited for', async () => {
			const outcome = await waitWithChange(200, (registry, runtime) => {
				const view = createView(2);
				registry.accept(createResponse({...view, record: {...view.record, synced: []}}), runtime.now());
			});
			assert.equal(outcome, 'unproved');
		});

		it('does not acknowledge a write of a term that has ended', async () => {
			const outcome = await waitWithChange(200, (registry, runtime) => {
				const view = createView(2);
				registry.accept(createResponse({...view, record: promoteRecord(view.record, REPLICA, 100)}), runtime.now());
			});
			assert.equal(outcome, 'unproved');
		});

		it('does not acknowledge a write after the grant has expired', async () => {
			assert.equal(await waitWithChange(1500, () => undefined), 'unproved');
		});
	});
});
