/** Parsing, validation, comparison and storage of inventories. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {gzipSync} from 'node:zlib';
import {compareInventories} from '../difference.js';
import {formatConfigurationDocument, parseConfigurationDocument} from '../document.js';
import {parseInventory} from '../parser.js';

const VALID_INVENTORY = `
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

const findFirstIssue = (text: string) => {
	const parsed = parseInventory(text);
	assert.ok(parsed.err, 'the inventory should be invalid');
	assert.equal(parsed.val.code, 'inventoryInvalid');
	return parsed.val.issues[0];
};

describe('inventory', () => {
	describe('parseInventory', () => {
		it('applies defaults', () => {
			const inventory = parseInventory(VALID_INVENTORY).unwrap();
			assert.equal(inventory.databases.motions?.acknowledge, 'replicated');
			assert.equal(inventory.customers.klub?.weight, 1);
			assert.deepEqual(inventory.keys, {});
		});

		it('accepts the former name of the list of targets', () => {
			assert.deepEqual(parseInventory(VALID_INVENTORY.replace('targets:', 'instances:')).unwrap(), parseInventory(VALID_INVENTORY).unwrap());
			assert.ok(findFirstIssue(VALID_INVENTORY.replace('targets:', 'instances: []\n    targets:')), 'both names together');
		});

		it('reports the line, the path and the expected value', () => {
			assert.deepEqual(findFirstIssue(VALID_INVENTORY.replace('rate: 10', 'rate: fast'))?.path, 'customers.klub.rate');
			assert.equal(findFirstIssue(VALID_INVENTORY.replace('rate: 10', 'rate: fast'))?.line, 10);
			assert.match(findFirstIssue(VALID_INVENTORY.replace('127.0.0.1:5500', 'here'))?.message ?? '', /host:port/v);
		});

		it('rejects unknown properties', () => {
			assert.match(findFirstIssue(VALID_INVENTORY.replace('rate: 10', 'speed: 10'))?.message ?? '', /rate|speed|expected/v);
		});

		it('rejects references to undefined names', () => {
			assert.equal(findFirstIssue(VALID_INVENTORY.replace('database: motions}', 'database: nowhere}'))?.path, 'services.motions.database');
			assert.equal(findFirstIssue(VALID_INVENTORY.replace('services: [motions]', 'services: [other]'))?.path, 'customers.klub.services.0');
			assert.match(findFirstIssue(VALID_INVENTORY.replace('dataCentre: brno-sever', 'dataCentre: praha'))?.message ?? '', /brno-sever/v);
		});

		it('rejects malformed YAML', () => {
			assert.ok(findFirstIssue('a: [1, 2')?.line);
		});
	});

	describe('compareInventories', () => {
		it('returns each changed value without verifiers', () => {
			const before = parseInventory(VALID_INVENTORY).unwrap();
			const keys = {k: {customer: 'klub', verifier: 'SCRAM-SHA-256$4096:AAAA$AAAA:AAAA'}};
			const after = {...parseInventory(VALID_INVENTORY.replace('rate: 10', 'rate: 11')).unwrap(), keys};
			const text = JSON.stringify(compareInventories(before, after));
			assert.match(text, /customers\.klub\.rate/v);
			assert.ok(!text.includes('SCRAM'));
		});
	});

	describe('documents', () => {
		it('are unchanged after formatting and parsing', () => {
			const document = {changeId: 'c', author: 'a', inventory: parseInventory(VALID_INVENTORY).unwrap()};
			assert.deepEqual(parseConfigurationDocument(formatConfigurationDocument(document).unwrap()).unwrap(), document);
			assert.ok(parseConfigurationDocument('garbage').err);
		});

		it('fails without repeating a verifier in the message if it is not JSON', () => {
			const text = '{"verifiers":["k1",x';
			const broken = parseConfigurationDocument(gzipSync(text).toString('base64'));
			assert.ok(broken.err);
			assert.doesNotMatch(broken.val.message, /k1/v);
		});
	});
});
