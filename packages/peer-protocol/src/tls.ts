/** Reads the key, certificate and certificate authority for mutual TLS from files. */

import {readFileSync} from 'node:fs';
import {
	Err, getErrorMessage, Ok, type Failure, type Result,
} from '@guavapitch/core';
import type {PeerTls} from './listener.js';

/** Failure of reading the TLS files: not all of them are given, or one cannot be read. */
export type TlsFailure = Failure<'tlsFilesIncomplete' | 'tlsFileUnreadable'>;

/** Names of the PEM files for mutual TLS; either all or none are given. */
export type TlsFiles = Readonly<{[Part in keyof PeerTls]: string | undefined}>;

const readPem = (part: string, file: string): Result<string, TlsFailure> => {
	try {
		return Ok(readFileSync(file, 'utf8'));
	} catch (error) {
		return Err({code: 'tlsFileUnreadable', message: `--peer-tls-${part}: ${getErrorMessage(error)}`});
	}
};

/** Reads the files for mutual TLS between peers; returns `undefined` if no files are given. */
export const readPeerTls = ({cert, key, ca}: TlsFiles): Result<PeerTls | undefined, TlsFailure> => {
	if (cert === undefined && key === undefined && ca === undefined) {
		return Ok(undefined);
	}

	if (cert === undefined || key === undefined || ca === undefined) {
		return Err({code: 'tlsFilesIncomplete', message: '--peer-tls-cert, --peer-tls-key and --peer-tls-ca go together'});
	}

	return readPem('cert', cert).andThen(readCert => readPem('key', key).andThen(readKey => readPem('ca', ca).map(readCa => ({cert: readCert, key: readKey, ca: readCa}))));
};
