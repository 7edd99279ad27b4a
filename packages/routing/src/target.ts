/**
 * Matches a request to its service, key and declared route. The index is built once
 * for each revision of the configuration.
 */
import {Result} from 'true-myth';
import {
	Importance, type KeySource, type RouteContract, type ServiceContract,
} from '@dogwooddeck/model/contract';
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';

/** The head of a request. Names of header fields are in lower case. */
export type RequestHead = {
	readonly method: string;
	/** The path and the query, as received. */
	readonly path: string;
	readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
};

/** The properties that a contract declares for a route. */
export type RouteTreatment = {
	readonly idempotent: boolean;
	readonly importance: Importance;
};

type DeclaredRoute = {
	readonly segments: readonly string[];
	readonly treatment: RouteTreatment;
};

/** A service with its routes grouped by method. */
export type ServiceTarget = {
	readonly contract: ServiceContract;
	/** The length of the service's prefix, without a trailing slash. */
	readonly prefixLength: number;
	readonly routes: ReadonlyMap<string, readonly DeclaredRoute[]>;
};

/** All services, indexed by path prefix. */
export type TargetIndex = {
	/** The distinct lengths of all prefixes, longest first. */
	readonly prefixLengths: readonly number[];
	readonly targets: ReadonlyMap<string, ServiceTarget>;
};

const undeclaredRoute: RouteTreatment = {idempotent: false, importance: Importance.high};
const dotSegment = /^(?:\.|%2e){1,2}$/iv;
const encodedSlash = /%(?:2f|5c)/iv;

function segmentsOf(path: string): string[] {
	return path.split('/').filter(segment => segment !== '');
}

function createRoute(route: RouteContract): DeclaredRoute {
	return {segments: segmentsOf(route.path), treatment: {idempotent: route.idempotent, importance: route.importance}};
}

function createTarget(contract: ServiceContract): ServiceTarget {
	const routes = new Map<string, DeclaredRoute[]>();
	for (const route of contract.routes) {
		routes.set(route.method, [...(routes.get(route.method) ?? []), createRoute(route)]);
	}

	return {contract, prefixLength: contract.prefix.replace(/\/$/v, '').length, routes};
}

/** Indexes contracts for `matchService`. */
export function createTargetIndex(contracts: readonly ServiceContract[]): TargetIndex {
	const targets = new Map(contracts.map(contract => [contract.prefix.replace(/\/$/v, ''), createTarget(contract)]));
	const prefixLengths = [...new Set([...targets.keys()].map(prefix => prefix.length))].sort((one, other) => other - one);
	return {prefixLengths, targets};
}

function isSegmentEnd(path: string, position: number): boolean {
	const character = path[position];
	return character === undefined || character === '/' || character === '?';
}

/** Finds the service with the longest prefix that matches whole segments of the path. */
export function matchService(index: TargetIndex, path: string): ServiceTarget | undefined {
	for (const length of index.prefixLengths) {
		if (isSegmentEnd(path, length)) {
			const target = index.targets.get(path.slice(0, length));
			if (target !== undefined) {
				return target;
			}
		}
	}

	return undefined;
}

/** Returns the segments of the path after the service's prefix, without the query. */
function segmentsAfterPrefix(target: ServiceTarget, path: string): readonly string[] {
	const queryAt = path.indexOf('?');
	const end = queryAt === -1 ? path.length : queryAt;
	return path.slice(target.prefixLength + 1, end).split('/');
}

function malformed(detail: string): Result<string, Failure> {
	return Result.err(failure(FailureKind.malformed, detail));
}

function decodeKey(text: string | undefined, place: string): Result<string, Failure> {
	if (text === undefined || text === '') {
		return malformed(`the request names no key in its ${place}`);
	}

	try {
		return Result.ok(text.includes('%') ? decodeURIComponent(text) : text);
	} catch {
		return malformed(`the key in the ${place} is not valid percent-encoding`);
	}
}

/**
 * Rejects paths with dot segments, empty segments or encoded slashes: an upstream may
 * normalize them differently and then read another key than the router did.
 */
function keyInPath(source: KeySource & {readonly place: 'path'}, target: ServiceTarget, head: RequestHead): Result<string, Failure> {
	const segments = segmentsAfterPrefix(target, head.path);
	const ambiguous = segments.some((segment, position) => (segment === '' && position < segments.length - 1) || dotSegment.test(segment) || encodedSlash.test(segment));
	return ambiguous ? malformed('the path holds empty segments, dot segments or encoded slashes') : decodeKey(segments[source.segment], 'path');
}

function keyInHeader(source: KeySource & {readonly place: 'header'}, _target: ServiceTarget, head: RequestHead): Result<string, Failure> {
	const value = head.headers[source.name.toLowerCase()];
	if (typeof value !== 'string' || value === '') {
		return malformed(`the request needs exactly one header field ${source.name}`);
	}

	return Result.ok(value);
}

function keyInQuery(source: KeySource & {readonly place: 'query'}, _target: ServiceTarget, head: RequestHead): Result<string, Failure> {
	const queryAt = head.path.indexOf('?');
	const values = new URLSearchParams(queryAt === -1 ? '' : head.path.slice(queryAt + 1)).getAll(source.name);
	const [value] = values;
	if (values.length !== 1 || value === undefined || value === '') {
		return malformed(`the request needs exactly one query parameter ${source.name}`);
	}

	return Result.ok(value);
}

type KeyReader<Place extends KeySource['place']> = (source: Extract<KeySource, {readonly place: Place}>, target: ServiceTarget, head: RequestHead) => Result<string, Failure>;

const keyReaders: {readonly [Place in KeySource['place']]: KeyReader<Place>} = {
	path: keyInPath,
	header: keyInHeader,
	query: keyInQuery,
};

/** Reads the key of a request. Fails with `malformed` if the request has no key, more than one, or an ambiguous one. */
export function readKey(target: ServiceTarget, head: RequestHead): Result<string, Failure> {
	const source = target.contract.key;
	const reader = keyReaders[source.place] as KeyReader<KeySource['place']>;
	return reader(source, target, head);
}

function matches(declared: readonly string[], segments: readonly string[]): boolean {
	return declared.length === segments.length && declared.every((segment, position) => segment === '*' || segment === segments[position]);
}

/** Returns the declaration of a request's route. Undeclared routes are non-idempotent and of high importance. */
export function routeOf(target: ServiceTarget, method: string, path: string): RouteTreatment {
	const routes = target.routes.get(method);
	if (routes === undefined) {
		return undeclaredRoute;
	}

	const segments = segmentsAfterPrefix(target, path).filter(segment => segment !== '');
	return routes.find(route => matches(route.segments, segments))?.treatment ?? undeclaredRoute;
}
