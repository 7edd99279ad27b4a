/**
 * The checks of contracts: of one service's file, of one contract by itself,
 * and of contracts beside each other. Each finds all problems, with file,
 * path and reason.
 */
import {
	KeyLocation, type KeySource, type RouteContract, type ServiceContract,
} from '@dogwooddeck/model/contract';
import {FailureKind, type Failure, type SettingsProblem} from '@dogwooddeck/model/failure';
import {type ServiceName} from '@dogwooddeck/model/identifiers';
import {err, ok, type Result} from 'true-myth/result';
import {contractFileSchema} from './contract-schema.js';
import {parseStrictly, problemsFailure} from './strict-schema.js';

/** A check that the caller adds, such as that of the deadline against the time to serve a key again. */
export type ContractCheck = (contract: ServiceContract, file: string) => readonly SettingsProblem[];

/** What the parsed TOML of one file should hold. */
export type ContractSource = {
	readonly file: string;
	readonly service: ServiceName;
	/** The parsed TOML. */
	readonly content: unknown;
};

function duplicates(file: string, list: string, names: readonly string[]): readonly SettingsProblem[] {
	return names.flatMap((name, index) => names.indexOf(name) === index
		? []
		: [{file, path: `${list}.${index}`, reason: `"${name}" stands twice`}]);
}

function undeclaredUnits(contract: ServiceContract, file: string): readonly SettingsProblem[] {
	const declared = new Set(contract.units.map(unit => unit.name));
	return contract.limits.flatMap((limit, index) => declared.has(limit.unit)
		? []
		: [{file, path: `limits.${index}.unit`, reason: `the unit "${limit.unit}" is not declared under units`}]);
}

function routeName(route: RouteContract): string {
	return `${route.method} ${route.path}`;
}

function hasSegment(path: string, segment: number): boolean {
	return path.split('/').filter(part => part !== '').length > segment;
}

function routesWithoutKey(contract: ServiceContract, file: string): readonly SettingsProblem[] {
	const {key} = contract;
	if (key.place !== KeyLocation.path) {
		return [];
	}

	return contract.routes.flatMap((route, index) => hasSegment(route.path, key.segment)
		? []
		: [{file, path: `routes.${index}.path`, reason: `has no segment ${key.segment}, where the key stands`}]);
}

function covers(one: RouteContract, other: RouteContract): boolean {
	const segments = one.path.split('/');
	const others = other.path.split('/');
	return one.method === other.method
		&& one.path !== other.path
		&& segments.length === others.length
		&& segments.every((segment, index) => segment === '*' || segment === others[index]);
}

/** Routes are tried in their order, so one after a wider one is never reached. */
function hiddenRoutes(contract: ServiceContract, file: string): readonly SettingsProblem[] {
	return contract.routes.flatMap((route, index) => {
		const hiding = contract.routes.findIndex((other, position) => position < index && covers(other, route));
		return hiding === -1
			? []
			: [{file, path: `routes.${index}.path`, reason: `is never reached: routes.${hiding}, "${contract.routes[hiding]!.path}", comes first`}];
	});
}

function slowObjectives(contract: ServiceContract, file: string): readonly SettingsProblem[] {
	const longest = contract.longestDeadlineMilliseconds;
	return contract.objectives.flatMap((objective, index) => (objective.withinMilliseconds ?? 0) <= longest
		? []
		: [{file, path: `objectives.${index}.within`, reason: `is longer than the longest deadline, ${longest} ms`}]);
}

/** What is wrong in one contract whose fields have their right types. */
export function contractProblems(contract: ServiceContract, file: string): readonly SettingsProblem[] {
	return [
		...duplicates(file, 'routes', contract.routes.map(route => routeName(route))),
		...duplicates(file, 'units', contract.units.map(unit => unit.name)),
		...duplicates(file, 'limits', contract.limits.map(limit => limit.name)),
		...duplicates(file, 'objectives', contract.objectives.map(objective => objective.name)),
		...undeclaredUnits(contract, file),
		...routesWithoutKey(contract, file),
		...hiddenRoutes(contract, file),
		...slowObjectives(contract, file),
	];
}

/** The failure of a contract with problems: `unitUndeclared` if that is all that is wrong. */
export function contractFailure(contract: ServiceContract, file: string, problems: readonly SettingsProblem[]): Failure {
	const onlyUnits = undeclaredUnits(contract, file).length === problems.length;
	return problemsFailure(problems, onlyUnits ? FailureKind.unitUndeclared : FailureKind.settingsInvalid);
}

/**
 * Reads one service's contract. Fails with `settingsInvalid`, or with
 * `unitUndeclared` where all that is wrong is a limit in such a unit.
 */
export function checkContract(source: ContractSource, more: readonly ContractCheck[] = []): Result<ServiceContract, Failure> {
	return parseStrictly(contractFileSchema, source.content, source.file).andThen((parsed): Result<ServiceContract, Failure> => {
		const contract: ServiceContract = {name: source.service, ...parsed};
		const problems = [
			...contractProblems(contract, source.file),
			...more.flatMap(check => check(contract, source.file)),
		];
		return problems.length === 0 ? ok(contract) : err(contractFailure(contract, source.file, problems));
	});
}

/** Whether a path that starts with one prefix may start with the other too. */
export function prefixesOverlap(one: string, other: string): boolean {
	const [short, long] = one.length <= other.length ? [one, other] : [other, one];
	return long.startsWith(short) && (long.length === short.length || long[short.length] === '/');
}

function sameKey(one: KeySource, other: KeySource): boolean {
	return JSON.stringify(one) === JSON.stringify(other);
}

function conflict(contract: ServiceContract, other: ServiceContract): boolean {
	return contract.name === other.name || prefixesOverlap(contract.prefix, other.prefix);
}

function conflictReason(contract: ServiceContract, other: ServiceContract): string {
	if (contract.name === other.name) {
		return `the service "${other.name}" stands twice`;
	}

	const keys = sameKey(contract.key, other.key) ? '' : ', and reads its key from another place';
	return `"${contract.prefix}" overlaps "${other.prefix}" of ${other.name}${keys}`;
}

/**
 * What is wrong between the contracts of one subtree and those of all others:
 * a request must belong to one service, whose key is read in one way.
 */
export function overlapProblems(
	wanted: readonly ServiceContract[],
	others: readonly ServiceContract[],
	fileOf: (contract: ServiceContract) => string = contract => contract.name,
): readonly SettingsProblem[] {
	return wanted.flatMap((contract, index) => {
		const earlier = wanted.slice(0, index).filter(other => conflict(contract, other));
		const foreign = others.filter(other => conflict(contract, other));
		return [...earlier, ...foreign].map(other => ({file: fileOf(contract), path: 'prefix', reason: conflictReason(contract, other)}));
	});
}

/** What may not change for a service that stands already: its number of slots. */
export function changeProblems(
	standing: readonly ServiceContract[],
	wanted: readonly ServiceContract[],
	fileOf: (contract: ServiceContract) => string = contract => contract.name,
): readonly SettingsProblem[] {
	const slotsOf = new Map(standing.map(contract => [contract.name, contract.slots]));
	return wanted.flatMap(contract => {
		const former = slotsOf.get(contract.name);
		return former === undefined || former === contract.slots
			? []
			: [{file: fileOf(contract), path: 'slots', reason: `is ${former} and never changes for a service, found ${contract.slots}`}];
	});
}
