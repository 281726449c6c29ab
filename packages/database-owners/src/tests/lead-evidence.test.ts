/** Evidence that a target leads: only what a replaced primary refuses counts. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createVirtualRuntime, brandId, type CustomerId, type TargetId,
} from '@guavapitch/core';
import type {
	Consistency, StatementOutcome, StatementRequest, TargetStatement,
} from '@guavapitch/sessions';
import type {DatabaseOwnerDecision} from '../decisions.js';
import {classifyWork, isLeadProof, type Work} from '../lead-evidence.js';
import {createFakeOwner} from './fake-owner.js';
import {createFakeTarget, DATABASE} from './fake-targets.js';

const READ: TargetStatement = {kind: 'text', access: 'read', text: 'READ a'};
const WRITE: TargetStatement = {kind: 'text', access: 'write', text: 'WRITE a b'};
const COMMIT: TargetStatement = {kind: 'commit', text: 'COMMIT'};
const OLD = brandId<TargetId>('old');
const NEW = brandId<TargetId>('new');

/** Creates an owner whose primary is replaced while a caller has a transaction open there that has only read. */
const createReplacedPrimary = async () => {
	const {runtime, advance} = createVirtualRuntime(7);
	const decisions: DatabaseOwnerDecision[] = [];
	const [oldPrimary, newPrimary, replica] = [createFakeTarget('old', 'primary'), createFakeTarget('new', 'replica'), createFakeTarget('third', 'replica')] as const;
	const owner = createFakeOwner([oldPrimary, newPrimary, replica], runtime, {
		onDecision(decision) {
			decisions.push(decision);
		},
	});
	let count = 0;
	const run = async (statement: TargetStatement, consistency: Consistency, transaction?: StatementRequest['transaction']): Promise<Readonly<{id: string; outcome: StatementOutcome}>> => {
		const id = `q${++count}`;
		let outcome: StatementOutcome | undefined;
		void owner.serve({
			id,
			database: DATABASE,
			customer: brandId<CustomerId>('club'),
			statement,
			consistency,
			floor: undefined,
			values: [],
			transaction,
			remainingMs: 1000,
			promptMs: 200,
			priority: 1,
		}).then(response => {
			outcome = response.outcome;
		});
		for (let step = 0; step < 400 && !outcome; step++) {
			await advance(5);
		}

		assert.ok(outcome, 'the statement got no response within 2 s');
		return {id, outcome};
	};

	await run(READ, {kind: 'latest'}, {id: 't', readOnly: false, isFirst: true});
	Object.assign(oldPrimary, {role: 'replica', position: {term: 2, number: 101}});
	Object.assign(newPrimary, {role: 'primary', position: {term: 2, number: 101}});
	replica.position = {term: 2, number: 101};
	owner.setTargets([
		{...oldPrimary.description, role: 'replica'}, {...newPrimary.description, role: 'primary'}, replica.description,
	]);
	const written = await run(WRITE, {kind: 'latest'});
	assert.equal(written.outcome.kind, 'done');
	return {
		owner, run, advance, decisions, targets: [oldPrimary, newPrimary, replica] as const,
	};
};

const commitEmpty = async ({run}: Awaited<ReturnType<typeof createReplacedPrimary>>) => {
	const {outcome} = await run(COMMIT, {kind: 'latest'}, {id: 't', readOnly: false, isFirst: false});
	assert.equal(outcome.kind, 'done');
};

describe('evidence that a target leads', () => {
	describe('is given by work that a target refuses once it was replaced', () => {
		const proofs: ReadonlyArray<readonly [Work, boolean]> = [
			['beginForWriting', true], ['beginForReading', false], ['readForWriting', true], ['read', false], ['write', true], ['commit', true], ['emptyCommit', false], ['sessionChange', false],
		];
		for (const [work, expected] of proofs) {
			it(`${work}: ${expected}`, () => {
				assert.equal(isLeadProof(work), expected);
			});
		}

		it('depends for a commit on whether the transaction has written, for a read on whether it may', () => {
			assert.equal(classifyWork(COMMIT, {mayWrite: true, hasWritten: false}), 'emptyCommit');
			assert.equal(classifyWork(COMMIT, {mayWrite: true, hasWritten: true}), 'commit');
			assert.equal(classifyWork(READ, {mayWrite: true, hasWritten: false}), 'readForWriting');
			assert.equal(classifyWork(READ, {mayWrite: false, hasWritten: false}), 'read');
		});
	});

	describe('is not given by an empty commit at a replaced primary', () => {
		it('so bounded reads see a write that the new primary acknowledged before (they lacked it for longer than the bound)', async () => {
			const setup = await createReplacedPrimary();
			await setup.advance(300);
			await commitEmpty(setup);
			await setup.advance(1500);
			for (let count = 0; count < 20; count++) {
				const {id} = await setup.run(READ, {kind: 'bounded', maxStalenessMs: 1500});
				const execution = setup.targets.flatMap(({executed}) => executed).find(run => run.id === id);
				assert.ok((execution?.position.number ?? 0) >= 102, `${id} ran at position ${execution?.position.number}`);
			}
		});

		it('so the replaced primary is not taken for the leader again', async () => {
			const setup = await createReplacedPrimary();
			await commitEmpty(setup);
			assert.equal(setup.owner.components.leaderTracker.getLeader(), NEW);
		});
	});

	describe('with a position that no leader can have', () => {
		it('is refused and reported, and does not move the lead', async () => {
			const {owner, advance, decisions, targets: [oldPrimary]} = await createReplacedPrimary();
			await advance(300);
			// A target that takes a transaction for writing although it does not lead.
			oldPrimary.role = 'primary';
			void owner.ping(OLD, (owner.components.context.runtime.now() + 400) as never);
			await advance(100);
			assert.deepEqual(decisions.filter(({kind}) => kind === 'positionRefused').map(({target, reason}) => [target, reason]), [
				[OLD, 'the position 2.101 after beginForWriting is behind 2.102, which was verified before'],
			]);
			assert.equal(owner.components.leaderTracker.getLeader(), NEW);
		});
	});
});
