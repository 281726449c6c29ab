/** Loads the gRPC protocol of etcd. */

import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {loadPackageDefinition, type GrpcObject, type ServiceClientConstructor} from '@grpc/grpc-js';
import {loadSync} from '@grpc/proto-loader';

const PROTO_PATH = path.join(path.dirname(fileURLToPath(import.meta.url)), '..', 'proto', 'etcd.proto');

/** Client constructors of the three etcd services in use. */
export type EtcdServices = Readonly<{
	KV: ServiceClientConstructor;
	Lease: ServiceClientConstructor;
	Watch: ServiceClientConstructor;
}>;

/** Loads the client constructors from `etcd.proto`; throws if the file cannot be read or parsed. */
export const loadServices = (): EtcdServices => {
	const definition = loadSync(PROTO_PATH, {
		keepCase: true, longs: Number, enums: String, defaults: true, oneofs: true,
	});
	const etcdPackage = loadPackageDefinition(definition).etcdserverpb as GrpcObject;
	return etcdPackage as unknown as EtcdServices;
};
