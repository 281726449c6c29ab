/** Inventories, good and bad. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {compareInventories} from '../difference.js';
import {formatConfigurationDocument, parseConfigurationDocument} from '../document.js';
import {parseInventory} from '../parser.js';

const GOOD = `
dataCentres: [brno-sever]
databases:
  motions:
    targets:
      - {name: motions-1, dataCentre: brno-sever, address: "127.0.0.1:5500", slots: 2, connections: 35}
services:
  motions: {database: motions}
customers:
  klub: {rate: 10, burst: 20, services: [motions]}
`;

const findIssue = (text: string) => {
	const parsed = parseInventory(text);
	assert.ok(parsed.err, 'the inventory should be refused');
	assert.equal(parsed.val.code, 'inventoryInvalid');
	return parsed.val.issues[0];
};

describe('inventory', () => {
	describe('parseInventory', () => {
		it('fills in what is not said', () => {
			const inventory = parseInventory(GOOD).unwrap();
			assert.equal(inventory.databases.motions?.acknowledge, 'replicated');
			assert.equal(inventory.customers.klub?.weight, 1);
			assert.deepEqual(inventory.keys, {});
		});

		it('reads the former name of the list of targets', () => {
			assert.deepEqual(parseInventory(GOOD.replace('targets:', 'instances:')).unwrap(), parseInventory(GOOD).unwrap());
			assert.ok(findIssue(GOOD.replace('targets:', 'instances: []\n    targets:')), 'both names at once');
		});

		it('names line, path and what was expected', () => {
			assert.deepEqual(findIssue(GOOD.replace('rate: 10', 'rate: fast'))?.path, 'customers.klub.rate');
			assert.equal(findIssue(GOOD.replace('rate: 10', 'rate: fast'))?.line, 10);
			assert.match(findIssue(GOOD.replace('127.0.0.1:5500', 'here'))?.message ?? '', /host:port/v);
		});

		it('refuses what it does not know', () => {
			assert.match(findIssue(GOOD.replace('rate: 10', 'speed: 10'))?.message ?? '', /rate|speed|expected/v);
		});

		it('refuses references that lead nowhere', () => {
			assert.equal(findIssue(GOOD.replace('database: motions}', 'database: nowhere}'))?.path, 'services.motions.database');
			assert.equal(findIssue(GOOD.replace('services: [motions]', 'services: [other]'))?.path, 'customers.klub.services.0');
			assert.match(findIssue(GOOD.replace('dataCentre: brno-sever', 'dataCentre: praha'))?.message ?? '', /brno-sever/v);
		});

		it('refuses what is not YAML', () => {
			assert.ok(findIssue('a: [1, 2')?.line);
		});
	});

	describe('compareInventories', () => {
		it('shows each changed value and no verifier', () => {
			const before = parseInventory(GOOD).unwrap();
			const keys = {k: {customer: 'klub', verifier: 'SCRAM-SHA-256$4096:AAAA$AAAA:AAAA'}};
			const after = {...parseInventory(GOOD.replace('rate: 10', 'rate: 11')).unwrap(), keys};
			const text = JSON.stringify(compareInventories(before, after));
			assert.match(text, /customers\.klub\.rate/v);
			assert.ok(!text.includes('SCRAM'));
		});
	});

	describe('documents', () => {
		it('come back from the store as they went in', () => {
			const document = {changeId: 'c', author: 'a', inventory: parseInventory(GOOD).unwrap()};
			assert.deepEqual(parseConfigurationDocument(formatConfigurationDocument(document).unwrap()).unwrap(), document);
			assert.ok(parseConfigurationDocument('garbage').err);
		});
	});
});
