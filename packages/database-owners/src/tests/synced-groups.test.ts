/** Changes of the primary with synchronous replication: no acknowledged commit may be missing at the promoted target, whichever member alone has it. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createSetup, drain, getReplicas, runFor,
} from './model-setup.js';

describe('group with synchronous replication', () => {
	describe('with a replica that is cut off from the store', () => {
		// A replica without an entry goes on confirming commits during a planned change of primary.
		it('loses nothing when the primary leaves, and promotes a replica that is registered', async () => {
			const setup = await createSetup();
			const [unregistered, registered] = getReplicas(setup);
			unregistered.receiveMs = 2;
			registered.receiveMs = 40;
			unregistered.isRegistered = false;
			await setup.advance(6000);
			drain(setup, setup.group.getPrimary());
			await setup.advance(6000);
			assert.deepEqual(setup.group.lost, []);
			assert.equal(setup.group.getPrimary(), registered);
			assert.ok(await runFor(setup, 1000) > 0);
			setup.stop();
		});

		it('loses nothing when the primary ends, and promotes the unregistered replica if it alone has everything', async () => {
			const setup = await createSetup();
			const [unregistered, registered] = getReplicas(setup);
			registered.receiveMs = 400;
			unregistered.isRegistered = false;
			await setup.advance(6000);
			void setup.group.restart(setup.group.getPrimary(), 20_000, false);
			await setup.advance(6000);
			assert.deepEqual(setup.group.lost, []);
			assert.equal(setup.group.getPrimary(), unregistered);
			setup.stop();
		});

		it('is known to a coordinator that has just started', async () => {
			const setup = await createSetup();
			const [unregistered, registered] = getReplicas(setup);
			registered.receiveMs = 400;
			unregistered.isRegistered = false;
			await setup.advance(6000);
			setup.changeCoordinator();
			void setup.group.restart(setup.group.getPrimary(), 20_000, false);
			await setup.advance(6000);
			assert.deepEqual(setup.group.lost, []);
			setup.stop();
		});
	});

	describe('with a replica that does not respond', () => {
		it('promotes nothing, and goes on with writes at the primary', async () => {
			const setup = await createSetup();
			const [silent] = getReplicas(setup);
			silent.isDark = true;
			silent.isRegistered = false;
			await setup.advance(10_000);
			drain(setup, setup.group.getPrimary());
			await setup.advance(3000);
			assert.equal(setup.group.promotionCount(), 0);
			assert.ok(await runFor(setup, 1000) > 0);
			assert.ok(setup.getRecord().members.some(({id}) => id === silent.description.id));
			setup.stop();
		});
	});

	describe('with a replica that is lost for good', () => {
		it('needs it no longer once another replica has everything that was confirmed before its end', async () => {
			const setup = await createSetup();
			const [gone, other] = getReplicas(setup);
			gone.isUp = false;
			gone.isRegistered = false;
			await setup.advance(6000);
			assert.ok(!setup.getRecord().members.some(({id}) => id === gone.description.id));
			void setup.group.restart(setup.group.getPrimary(), 20_000, false);
			await setup.advance(6000);
			assert.equal(setup.group.getPrimary(), other);
			assert.deepEqual(setup.group.lost, []);
			setup.stop();
		});

		it('is needed as long as no other replica has everything', async () => {
			const setup = await createSetup();
			const [gone, other] = getReplicas(setup);
			other.receiveMs = 100_000;
			await setup.advance(500);
			gone.isUp = false;
			gone.isRegistered = false;
			await setup.advance(6000);
			assert.ok(setup.getRecord().members.some(({id}) => id === gone.description.id));
			void setup.group.restart(setup.group.getPrimary(), 20_000, false);
			await setup.advance(6000);
			assert.equal(setup.group.promotionCount(), 0);
			setup.stop();
		});

		it('is a member again when it responds again without an entry', async () => {
			const setup = await createSetup();
			const [gone, other] = getReplicas(setup);
			gone.isRegistered = false;
			void setup.group.restart(gone, 6000, false);
			await setup.advance(5500);
			assert.ok(!setup.getRecord().members.some(({id}) => id === gone.description.id));
			await setup.advance(1000);
			other.receiveMs = 400;
			await setup.advance(500);
			drain(setup, setup.group.getPrimary());
			await setup.advance(6000);
			assert.deepEqual(setup.group.lost, []);
			setup.stop();
		});

		it('is still needed while an unknown target has its address, which may be its successor', async () => {
			const setup = await createSetup();
			const [leaving] = getReplicas(setup);
			const {id, port} = leaving.description;
			setup.group.replace(leaving);
			const successor = setup.group.members.find(({description}) => description.port === port);
			assert.ok(successor);
			successor.isRegistered = false;
			await setup.advance(6000);
			assert.ok(setup.getRecord().members.some(member => member.id === id));
			drain(setup, setup.group.getPrimary());
			await setup.advance(3000);
			assert.equal(setup.group.promotionCount(), 0);
			setup.stop();
		});

		it('has ended when another target has its address', async () => {
			const setup = await createSetup();
			const [leaving] = getReplicas(setup);
			setup.group.replace(leaving);
			await setup.advance(3000);
			assert.deepEqual(setup.getRecord().members.map(({id}) => id).toSorted(), setup.group.members.map(({description}) => description.id).toSorted());
			setup.stop();
		});
	});

	describe('with a coordinator that ends during a change', () => {
		it('has replicas that were left paused resumed by the next coordinator', async () => {
			const setup = await createSetup();
			for (const replica of getReplicas(setup)) {
				replica.heldTerm = 9;
			}

			assert.equal(await runFor(setup, 100), 0);
			setup.changeCoordinator();
			await setup.advance(2500);
			assert.ok(await runFor(setup, 1000) > 0);
			assert.equal(setup.group.promotionCount(), 0);
			setup.stop();
		});

		it('has an order that may still be executed carried on, not undone', async () => {
			const setup = await createSetup();
			setup.faults.isLate = true;
			const primary = setup.group.getPrimary();
			drain(setup, primary);
			while (setup.getOrdered() === primary.description.id) {
				await setup.advance(10);
			}

			await setup.advance(50);
			setup.changeCoordinator();
			setup.faults.isLate = false;
			await setup.advance(6000);
			assert.equal(setup.group.getPrimary().description.id, setup.getOrdered());
			assert.deepEqual(setup.group.lost, []);
			assert.ok(await runFor(setup, 1000) > 0);
			setup.stop();
		});
	});

	describe('with an order that gets no response', () => {
		it('keeps the replicas paused while the order may still be executed, and resumes them later', async () => {
			const setup = await createSetup();
			setup.faults.areOrdersLost = true;
			const primary = setup.group.getPrimary();
			drain(setup, primary);
			await setup.advance(5000);
			assert.equal(await runFor(setup, 5000), 0);
			setup.faults.areOrdersLost = false;
			await setup.advance(5000);
			assert.notEqual(setup.group.getPrimary(), primary);
			assert.deepEqual(setup.group.lost, []);
			assert.ok(await runFor(setup, 1000) > 0);
			setup.stop();
		});
	});

	describe('with an outage of the store', () => {
		it('promotes nothing and acknowledges writes all the while', async () => {
			const setup = await createSetup();
			setup.faults.isStoreDown = true;
			assert.ok(await runFor(setup, 4500) > 100);
			setup.faults.isStoreDown = false;
			for (const member of setup.group.members) {
				member.isRegistered = false;
				void setup.runtime.sleep(setup.runtime.random() * 2000).then(() => {
					member.isRegistered = true;
				});
			}

			assert.ok(await runFor(setup, 6000) > 100);
			assert.equal(setup.group.promotionCount(), 0);
			setup.stop();
		});
	});
});
