/** Connections to the proxies under load. */

import pg from 'pg';

/** Address of one proxy. */
export type EntryAddress = Readonly<{host: string; port: number}>;

/** Credentials of a connection and the service that it uses. */
export type LoginOptions = Readonly<{keyId: string; secret: string | undefined; service: string}>;

const CONNECT_TIMEOUT_MS = 3000;
const QUERY_TIMEOUT_MS = 20_000;

/** Waits for the given time, in milliseconds. */
export const wait = async (ms: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, ms);
});

/** Connects to a proxy with an unmodified PostgreSQL client; rejects if the proxy refuses the login or does not respond in time. */
export const connectEntry = async (entry: EntryAddress, login: LoginOptions): Promise<pg.Client> => {
	const client = new pg.Client({
		host: entry.host,
		port: entry.port,
		user: login.keyId,
		password: login.secret,
		database: login.service,
		connectionTimeoutMillis: CONNECT_TIMEOUT_MS,
		query_timeout: QUERY_TIMEOUT_MS,
	});
	client.on('error', () => undefined);
	await client.connect();
	return client;
};
