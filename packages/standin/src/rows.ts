/** Encoding of result rows and decoding of parameters in the PostgreSQL protocol. */

import {Buffer} from 'node:buffer';
import {
	createMessage, encodeInt16, encodeInt32, type Message,
} from '@guavapitch/postgres-wire';
import type {Row} from './engine.js';
import type {ResultColumn} from './executor.js';
import type {Value} from './sql-ast.js';

const TYPE_OIDS: Readonly<Record<string, number>> = {
	int: 23, integer: 23, int4: 23, serial: 23, bigint: 20, int8: 20, bool: 16, boolean: 16, text: 25,
};
const TEXT_OID = 25;

/** Creates the RowDescription message for the columns of a result. */
export const createRowDescription = (columns: readonly ResultColumn[]): Message => createMessage('T', encodeInt16(columns.length), ...columns.flatMap(column => [
	column.name, encodeInt32(0), encodeInt16(0), encodeInt32(TYPE_OIDS[column.type] ?? TEXT_OID), encodeInt16(-1), encodeInt32(-1), encodeInt16(0),
]));

const encodeValue = (value: Value): readonly Buffer[] => {
	if (value === null) {
		return [encodeInt32(-1)];
	}

	const text = typeof value === 'boolean' ? (value ? 't' : 'f') : String(value);
	const bytes = Buffer.from(text);
	return [encodeInt32(bytes.length), bytes];
};

/** Creates the DataRow message for a row. */
export const createDataRow = (row: Row): Message => createMessage('D', encodeInt16(row.length), ...row.flatMap(value => encodeValue(value)));

/** Reads the parameter values of a Bind message, starting at the offset of the parameter formats; all values are read as text. */
export const readParameters = (body: Buffer, formatsOffset: number): readonly Value[] => {
	let offset = formatsOffset;
	const formatCount = body.readInt16BE(offset);
	offset += 2 + (formatCount * 2);
	const valueCount = body.readInt16BE(offset);
	offset += 2;
	const values: Value[] = [];
	for (let index = 0; index < valueCount; index++) {
		const length = body.readInt32BE(offset);
		offset += 4;
		if (length === -1) {
			values.push(null);
		} else {
			values.push(body.toString('utf8', offset, offset + length));
			offset += length;
		}
	}

	return values;
};
