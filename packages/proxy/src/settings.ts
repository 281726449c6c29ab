/** Settings of the proxy, from flags and environment variables. */

import {readFileSync} from 'node:fs';
import yargs from 'yargs';
import {
	Err, getErrorMessage, Ok, brandId, type DataCentreId, type Failure, type Result, type VmId,
} from '@guavapitch/core';
import {readPeerTls, type Address, type PeerTls} from '@guavapitch/peer-protocol';

/** Settings of the proxy. */
export type Settings = Readonly<{
	vm: VmId;
	dataCentre: DataCentreId;
	/** Address on which callers connect. */
	listen: Address;
	/** Address on which peers connect. */
	peerListen: Address;
	/** Address of the platform's key-value service, as `host:port`. */
	platform: string;
	/** File for events, as JSON lines; standard error if `undefined`. */
	logFile: string | undefined;
	/** Address of the StatsD server for metrics; `undefined` if metrics are not sent. */
	statsd: Address | undefined;
	/** Time for requests to finish after SIGTERM, in milliseconds. */
	drainMs: number;
	/** Certificate and private key for connections of callers, in PEM; callers cannot use TLS if `undefined`. */
	callerTls: Readonly<{cert: string; key: string}> | undefined;
	/** Private key, certificate and certificate authority for mutual TLS between peers; plain TCP if `undefined`. */
	peerTls: PeerTls | undefined;
}>;

/** Failure to parse or read a setting. */
export type SettingsFailure = Failure<'settingInvalid'>;

/** Version of the program. */
export const VERSION = '0.1.0';

const MAX_PORT = 65_535;
const DEFAULT_DRAIN_MS = 10_000;
const NAME_PATTERN = /^[a-z][\-a-z\d]{0,62}$/v;

class SettingError extends Error {
	override readonly name = 'SettingError';
}

const parseAddress = (flag: string, text: string): Address => {
	const [host, portText] = text.split(':');
	const port = Number(portText);
	if (!host || !Number.isInteger(port) || port < 0 || port > MAX_PORT) {
		throw new SettingError(`--${flag}: expected host:port, got "${text}"`);
	}

	return {host, port};
};

const parseName = <Id extends string>(flag: string, text: string): Id => {
	if (!NAME_PATTERN.test(text)) {
		throw new SettingError(`--${flag}: expected a name of lower-case letters, digits and hyphens, got "${text}"`);
	}

	return brandId<Id>(text);
};

const parseMs = (flag: string, value: number): number => {
	if (!Number.isFinite(value) || value < 0) {
		throw new SettingError(`--${flag}: expected a number of milliseconds, 0 or more, got "${value}"`);
	}

	return value;
};

const requireSetting = <Value>(result: Result<Value, Failure>): Value => {
	if (result.err) {
		throw new SettingError(result.val.message);
	}

	return result.val;
};

const readPem = (flag: string, file: string): string => {
	try {
		return readFileSync(file, 'utf8');
	} catch (error) {
		throw new SettingError(`--${flag}: cannot read "${file}": ${getErrorMessage(error)}`);
	}
};

const readCertificatePair = (files: Readonly<{cert?: string; key?: string}>): Readonly<{cert: string; key: string}> | undefined => {
	if (!files.cert && !files.key) {
		return undefined;
	}

	if (!files.cert || !files.key) {
		throw new SettingError('--tls-cert and --tls-key must be given together');
	}

	return {cert: readPem('tls-cert', files.cert), key: readPem('tls-key', files.key)};
};

/** Parses the settings; flags take precedence over `GUAVAPITCH_*` environment variables. Reads the TLS files. */
export const parseSettings = async (argv: readonly string[]): Promise<Result<Settings, SettingsFailure>> => {
	try {
		const flags = await yargs([...argv])
			.scriptName('guavapitch-proxy')
			.usage('$0 --vm NAME --data-centre NAME [options]\n\nExit codes: 0 stopped cleanly, 2 a setting is invalid, 3 an address cannot be used.')
			.env('GUAVAPITCH')
			.strict()
			.version(VERSION)
			.option('vm', {type: 'string', demandOption: true, describe: 'name of this vm'})
			.option('data-centre', {type: 'string', demandOption: true, describe: 'data centre of this vm'})
			.option('listen', {type: 'string', default: '127.0.0.1:6432', describe: 'address for callers, host:port'})
			.option('peer-listen', {type: 'string', default: '127.0.0.1:6433', describe: 'address for peers, host:port'})
			.option('platform', {type: 'string', default: '127.0.0.1:2379', describe: 'address of the platform\'s key-value service, host:port'})
			.option('log-file', {type: 'string', describe: 'file for events, as JSON lines; standard error if absent'})
			.option('statsd', {type: 'string', describe: 'address of the StatsD server for metrics, host:port'})
			.option('drain-ms', {type: 'number', default: DEFAULT_DRAIN_MS, describe: 'time for requests to finish after SIGTERM, in milliseconds'})
			.option('tls-cert', {type: 'string', describe: 'certificate for connections of callers, PEM file'})
			.option('tls-key', {type: 'string', describe: 'private key of the certificate for callers, PEM file'})
			.option('peer-tls-cert', {type: 'string', describe: 'certificate for connections between peers, PEM file'})
			.option('peer-tls-key', {type: 'string', describe: 'private key of the certificate for peers, PEM file'})
			.option('peer-tls-ca', {type: 'string', describe: 'certificate authority of the peers, PEM file'})
			.exitProcess(false)
			.fail((message: string, error: unknown) => {
				throw error instanceof Error ? error : new SettingError(message);
			})
			.parse();
		return Ok({
			vm: parseName<VmId>('vm', flags.vm),
			dataCentre: parseName<DataCentreId>('data-centre', flags.dataCentre),
			listen: parseAddress('listen', flags.listen),
			peerListen: parseAddress('peer-listen', flags.peerListen),
			platform: `${parseAddress('platform', flags.platform).host}:${parseAddress('platform', flags.platform).port}`,
			logFile: flags.logFile,
			statsd: flags.statsd ? parseAddress('statsd', flags.statsd) : undefined,
			drainMs: parseMs('drain-ms', flags.drainMs),
			callerTls: readCertificatePair({cert: flags.tlsCert, key: flags.tlsKey}),
			peerTls: requireSetting(readPeerTls({cert: flags.peerTlsCert, key: flags.peerTlsKey, ca: flags.peerTlsCa})),
		});
	} catch (error) {
		return Err({code: 'settingInvalid', message: getErrorMessage(error)});
	}
};
