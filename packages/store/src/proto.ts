/** Loads the protocol of the key-value service. */

import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {loadPackageDefinition, type GrpcObject, type ServiceClientConstructor} from '@grpc/grpc-js';
import {loadSync} from '@grpc/proto-loader';

const PROTO_PATH = path.join(path.dirname(fileURLToPath(import.meta.url)), '..', 'proto', 'etcd.proto');

/** Constructors of the three services. */
export type EtcdServices = Readonly<{
	KV: ServiceClientConstructor;
	Lease: ServiceClientConstructor;
	Watch: ServiceClientConstructor;
}>;

/** Loads the services of the protocol. */
export const loadServices = (): EtcdServices => {
	const definition = loadSync(PROTO_PATH, {
		keepCase: true, longs: Number, enums: String, defaults: true, oneofs: true,
	});
	const root = loadPackageDefinition(definition).etcdserverpb as GrpcObject;
	return root as unknown as EtcdServices;
};
