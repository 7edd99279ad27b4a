import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FailureKind} from '@dogwooddeck/model/failure';
import {UpstreamPhase, type UpstreamRecord} from '@dogwooddeck/model/registry';
import {
	applyMembership, checkAnnouncement, emptyMembership, type MembershipCommand, type MembershipState, upstreamsOf,
} from '@dogwooddeck/membership/registry';

const service = 'bermrand/booking';

function record(incarnation: number, changes: Partial<UpstreamRecord> = {}): UpstreamRecord {
	return {
		service, name: 'booking-1', incarnation, region: 'noord', zone: 'noord-1', address: '127.0.0.1:1', phase: UpstreamPhase.serving, ...changes,
	};
}

const joined = (incarnation: number, changes: Partial<UpstreamRecord> = {}): MembershipCommand => ({kind: 'upstreamJoined', record: record(incarnation, changes)});
const phase = (incarnation: number, next: UpstreamPhase, name = 'booking-1'): MembershipCommand =>
	({kind: 'upstreamPhaseChanged', upstream: {service, name, incarnation}, phase: next});
const forgotten = (incarnation: number): MembershipCommand => ({kind: 'upstreamForgotten', upstream: {service, name: 'booking-1', incarnation}});

type RegistryCase = {
	readonly name: string;
	readonly commands: readonly MembershipCommand[];
	/** The expected failure of the last command. */
	readonly fails?: FailureKind;
	readonly expected: ReadonlyArray<readonly [incarnation: number, phase: UpstreamPhase]>;
};

const cases: readonly RegistryCase[] = [
	{name: 'a first incarnation joins', commands: [joined(1)], expected: [[1, UpstreamPhase.serving]]},
	{name: 'a repeated command changes nothing', commands: [joined(1), joined(1)], expected: [[1, UpstreamPhase.serving]]},
	{
		name: 'the same incarnation from another address is refused',
		commands: [joined(1), joined(1, {address: '127.0.0.1:2'})],
		fails: FailureKind.superseded,
		expected: [[1, UpstreamPhase.serving]],
	},
	{name: 'a later incarnation replaces an earlier one', commands: [joined(1), joined(3)], expected: [[3, UpstreamPhase.serving]]},
	{
		name: 'an earlier incarnation is refused',
		commands: [joined(3), joined(2)],
		fails: FailureKind.superseded,
		expected: [[3, UpstreamPhase.serving]],
	},
	{
		name: 'a lost incarnation never joins again',
		commands: [joined(3), phase(3, UpstreamPhase.lost), joined(3)],
		fails: FailureKind.superseded,
		expected: [[3, UpstreamPhase.lost]],
	},
	{
		name: 'a lost incarnation never serves again',
		commands: [joined(3), phase(3, UpstreamPhase.lost), phase(3, UpstreamPhase.serving)],
		fails: FailureKind.superseded,
		expected: [[3, UpstreamPhase.lost]],
	},
	{name: 'a lost upstream joins again with a later incarnation', commands: [joined(3), phase(3, UpstreamPhase.lost), joined(4)], expected: [[4, UpstreamPhase.serving]]},
	{
		name: 'a leaving incarnation does not serve again',
		commands: [joined(3), phase(3, UpstreamPhase.leaving), phase(3, UpstreamPhase.serving)],
		fails: FailureKind.superseded,
		expected: [[3, UpstreamPhase.leaving]],
	},
	{name: 'an upstream can join as leaving', commands: [joined(1, {phase: UpstreamPhase.leaving})], expected: [[1, UpstreamPhase.leaving]]},
	{
		name: 'no upstream joins as lost',
		commands: [joined(1, {phase: UpstreamPhase.lost})],
		fails: FailureKind.malformed,
		expected: [],
	},
	{
		name: 'a phase change of an earlier incarnation is refused',
		commands: [joined(3), phase(2, UpstreamPhase.lost)],
		fails: FailureKind.superseded,
		expected: [[3, UpstreamPhase.serving]],
	},
	{
		name: 'a phase change of an upstream that never joined is refused',
		commands: [phase(1, UpstreamPhase.lost, 'constructor')],
		fails: FailureKind.notFound,
		expected: [],
	},
	{
		name: 'a serving upstream is not forgotten',
		commands: [joined(1), forgotten(1)],
		fails: FailureKind.conflict,
		expected: [[1, UpstreamPhase.serving]],
	},
	{
		name: 'a forgotten incarnation does not join again',
		commands: [joined(2), phase(2, UpstreamPhase.lost), forgotten(2), joined(2)],
		fails: FailureKind.superseded,
		expected: [],
	},
	{
		name: 'a forgotten upstream joins again with a later incarnation',
		commands: [joined(2), phase(2, UpstreamPhase.lost), forgotten(2), joined(3)],
		expected: [[3, UpstreamPhase.serving]],
	},
	{
		name: 'names of built-in object properties are ordinary names',
		commands: [joined(1, {name: '__proto__'}), joined(1, {name: 'constructor'})],
		expected: [[1, UpstreamPhase.serving], [1, UpstreamPhase.serving]],
	},
];

function replay(commands: readonly MembershipCommand[]): {readonly state: MembershipState; readonly fails: FailureKind | undefined} {
	let state = emptyMembership;
	let fails: FailureKind | undefined;
	for (const [offset, command] of commands.entries()) {
		const applied = applyMembership(state, command, offset + 1);
		fails = applied.isErr ? applied.error.kind : undefined;
		state = applied.isOk ? structuredClone(applied.value) : state;
	}

	return {state, fails};
}

for (const {name, commands, fails, expected} of cases) {
	test(`applyMembership: ${name}`, () => {
		const result = replay(commands);
		assert.equal(result.fails, fails);
		assert.deepEqual(upstreamsOf(result.state, service).map(upstream => [upstream.incarnation, upstream.phase]), expected);
		const json = JSON.stringify(result.state);
		assert.deepEqual(JSON.parse(json), result.state);
	});
}

const announcements: ReadonlyArray<{readonly name: string; readonly commands: readonly MembershipCommand[]; readonly incarnation: number; readonly isAccepted: boolean}> = [
	{
		name: 'an unknown upstream', commands: [], incarnation: 1, isAccepted: true,
	},
	{
		name: 'the current incarnation', commands: [joined(2)], incarnation: 2, isAccepted: true,
	},
	{
		name: 'a later incarnation', commands: [joined(2)], incarnation: 3, isAccepted: true,
	},
	{
		name: 'an earlier incarnation', commands: [joined(2)], incarnation: 1, isAccepted: false,
	},
	{
		name: 'a lost incarnation', commands: [joined(2), phase(2, UpstreamPhase.lost)], incarnation: 2, isAccepted: false,
	},
	{
		name: 'a forgotten incarnation', commands: [joined(2), phase(2, UpstreamPhase.lost), forgotten(2)], incarnation: 2, isAccepted: false,
	},
];

for (const {name, commands, incarnation, isAccepted} of announcements) {
	test(`checkAnnouncement: ${name}`, () => {
		const {phase: _phase, ...fields} = record(incarnation);
		const checked = checkAnnouncement(replay(commands).state, {...fields, leaving: false, load: 0});
		assert.equal(checked.isOk, isAccepted);
		assert.equal(checked.isErr ? checked.error.kind : undefined, isAccepted ? undefined : FailureKind.superseded);
	});
}
