/**
 * What differs between two states of a team's subtree.
 */
import {type ServiceContract} from '@dogwooddeck/model/contract';
import {type ServiceName} from '@dogwooddeck/model/identifiers';

/** The kinds of change to a service. */
export const ChangeKind = {
	added: 'added',
	changed: 'changed',
	removed: 'removed',
} as const;

/** One of the kinds of change. */
export type ChangeKind = (typeof ChangeKind)[keyof typeof ChangeKind];

/** One field that changed; a value that is absent is undefined. */
export type FieldChange = {
	/** The path within the contract, with dots between its segments. */
	readonly path: string;
	readonly before: unknown;
	readonly after: unknown;
};

/** What changed in one service. */
export type Change = {
	readonly kind: ChangeKind;
	readonly service: ServiceName;
	/** With `changed`: each field. */
	readonly fields: readonly FieldChange[];
};

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
	return typeof value === 'object' && value !== null;
}

function compareFields(before: unknown, after: unknown, path: string): readonly FieldChange[] {
	if (!isRecord(before) || !isRecord(after)) {
		return before === after ? [] : [{path, before, after}];
	}

	const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])];
	return keys.flatMap(key => compareFields(before[key], after[key], path === '' ? key : `${path}.${key}`));
}

function compareService(before: ServiceContract | undefined, after: ServiceContract | undefined): readonly Change[] {
	if (before === undefined || after === undefined) {
		const kind = before === undefined ? ChangeKind.added : ChangeKind.removed;
		return [{kind, service: (before ?? after)!.name, fields: []}];
	}

	const fields = compareFields(before, after, '');
	return fields.length === 0 ? [] : [{kind: ChangeKind.changed, service: after.name, fields}];
}

/** Each service that differs between the old and the new subtree, by name. */
export function compareSubtrees(before: readonly ServiceContract[], after: readonly ServiceContract[]): readonly Change[] {
	const names = [...new Set([...before, ...after].map(contract => contract.name))].sort();
	return names.flatMap(name => compareService(
		before.find(contract => contract.name === name),
		after.find(contract => contract.name === name),
	));
}

function shown(value: unknown): string {
	return value === undefined ? 'nothing' : JSON.stringify(value);
}

/** A change as lines for a person. */
export function describeChange(change: Change): readonly string[] {
	return [
		`${change.kind} ${change.service}`,
		...change.fields.map(field => `  ${field.path}: ${shown(field.before)} -> ${shown(field.after)}`),
	];
}
