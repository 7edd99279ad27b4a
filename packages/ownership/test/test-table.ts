import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PartitionPolicy} from '@dogwooddeck/model/contract';
import {type InstanceRecord} from '@dogwooddeck/model/registry';
import {
	applyOwnership, assignmentOf, emptyOwnership, type OwnershipCommand, type OwnershipState, slotFor,
} from '@dogwooddeck/ownership/table';

const service = 'bermrand/schedule';
const policy = {whenCut: PartitionPolicy.hold, longestDeadlineMilliseconds: 1500};
const first = {service, name: 'first', incarnation: 1};
const second = {service, name: 'second', incarnation: 1};
const opened: OwnershipCommand = {
	kind: 'serviceOpened', service, slots: 4, policy,
};
const granted: OwnershipCommand = {kind: 'assignmentsGranted', service, grants: [{slot: 0, owner: first}, {slot: 1, owner: second}]};
const halfWrong: OwnershipCommand = {kind: 'assignmentsGranted', service, grants: [{slot: 2, owner: first}, {slot: 9, owner: first}]};
const revoked: OwnershipCommand = {kind: 'assignmentsRevoked', service, slots: [0]};
const pinned: OwnershipCommand = {
	kind: 'keyPinned', service, key: 'A2', home: 0,
};
const moved: OwnershipCommand = {kind: 'assignmentsGranted', service, grants: [{slot: 0, owner: second, revokedAt: 3}]};
const laterUnseated: OwnershipCommand = {
	kind: 'instanceUnseated', zone: 'a', instance: {name: 'a1', incarnation: 2}, changedAt: 1,
};
const record: InstanceRecord = {
	name: 'a1', incarnation: 1, region: 'noord', zone: 'a', peerAddress: '', callerAddress: '', operatorAddress: '',
};
const seated: OwnershipCommand = {kind: 'instanceSeated', record, changedAt: 0};

function released(revokedAt: number): OwnershipCommand {
	return {kind: 'assignmentsReleased', service, releases: [{slot: 0, revokedAt}]};
}

/** Applies the commands as log entries, numbered from 1 by their position in the list. */
function applyAll(commands: readonly OwnershipCommand[]): {readonly state: OwnershipState; readonly refused: readonly string[]} {
	let state = emptyOwnership;
	const refused: string[] = [];
	for (const [place, command] of commands.entries()) {
		const result = applyOwnership(state, command, place + 1);
		if (result.isOk) {
			state = result.value;
		} else {
			refused.push(`${place + 1} ${result.error.kind}`);
		}
	}

	return {state, refused};
}

const cases: ReadonlyArray<{
	readonly name: string;
	readonly commands: readonly OwnershipCommand[];
	readonly refused?: readonly string[];
	readonly slots?: Readonly<Record<number, string>>;
}> = [
	{name: 'a service opens with vacant slots', commands: [opened], slots: {0: 'vacant', 3: 'vacant'}},
	{name: 'a service that is open is not opened again', commands: [opened, opened], refused: ['2 conflict']},
	{name: 'a service needs at least one slot', commands: [{...opened, slots: 0}], refused: ['1 malformed']},
	{name: 'the fence is the index of the grant', commands: [opened, granted], slots: {0: 'first@2', 1: 'second@2'}},
	{name: 'a granted slot is not granted again', commands: [opened, granted, granted], refused: ['3 conflict']},
	{
		name: 'a refused command changes nothing', commands: [opened, halfWrong], refused: ['2 conflict'], slots: {2: 'vacant'},
	},
	{name: 'a slot that is being revoked keeps its owner', commands: [opened, granted, revoked], slots: {0: 'first@2 revoked@3'}},
	{name: 'a vacant slot is not revoked', commands: [opened, revoked], refused: ['2 conflict']},
	{name: 'a grant that names the revocation moves the slot', commands: [opened, granted, revoked, moved], slots: {0: 'second@4'}},
	{
		name: 'a grant that names no revocation is refused', commands: [opened, granted, revoked, granted], refused: ['4 conflict'], slots: {0: 'first@2 revoked@3'},
	},
	{
		name: 'evidence for an earlier revocation is refused', commands: [opened, granted, revoked, moved, revoked, moved], refused: ['6 conflict'], slots: {0: 'second@4 revoked@5'},
	},
	{name: 'a release completes a revocation', commands: [opened, granted, revoked, released(3)], slots: {0: 'vacant'}},
	{name: 'a release that names another revocation is refused', commands: [opened, granted, revoked, released(2)], refused: ['4 conflict']},
	{name: 'a service with owners does not close', commands: [opened, granted, {kind: 'serviceClosed', service}], refused: ['3 conflict']},
	{name: 'a vacant service closes', commands: [opened, {kind: 'serviceClosed', service}, granted], refused: ['3 not-found']},
	{name: 'a pinned key and its slot keep the owner under a new fence', commands: [opened, granted, pinned], slots: {0: 'first@3', 4: 'first@3'}},
	{name: 'a key is not pinned out of a slot under revocation', commands: [opened, granted, revoked, pinned], refused: ['4 conflict']},
	{name: 'a key is pinned once', commands: [opened, granted, pinned, pinned], refused: ['4 conflict']},
	{name: 'a key is not pinned out of a pinned slot', commands: [opened, granted, pinned, {...pinned, key: 'B', home: 4}], refused: ['4 conflict']},
	{name: 'an unpinned key and its slot get a new fence', commands: [opened, granted, pinned, {kind: 'keyUnpinned', service, key: 'A2'}], slots: {0: 'first@4', 4: 'vacant'}},
	{name: 'a key whose assignment differs from its slot is not unpinned', commands: [opened, granted, pinned, revoked, {kind: 'keyUnpinned', service, key: 'A2'}], refused: ['5 conflict']},
	{name: 'an instance is not seated twice', commands: [seated, {...seated, record: {...record, zone: 'b'}}], refused: ['2 conflict']},
	{name: 'of two concurrent changes to one roster only the first is applied', commands: [seated, {...seated, record: {...record, name: 'a2'}}], refused: ['2 conflict']},
	{
		name: 'a zone release that names another version of the roster is refused', commands: [seated, {
			kind: 'zoneReleased', zone: 'a', reason: 'withheld', changedAt: 0,
		}], refused: ['2 conflict'],
	},
	{name: 'an operator\'s release applies to any version of the roster', commands: [seated, {kind: 'zoneReleased', zone: 'a', reason: 'declared-lost'}]},
	{name: 'only the seated incarnation is unseated', commands: [seated, laterUnseated], refused: ['2 not-found']},
	{name: 'settling a roster at another change is refused', commands: [seated, {kind: 'rosterSettled', zone: 'a', changedAt: 0}], refused: ['2 conflict']},
	{name: 'a roster is settled at its last change', commands: [seated, {kind: 'rosterSettled', zone: 'a', changedAt: 1}]},
	{name: 'settling an unknown roster is refused', commands: [{kind: 'rosterSettled', zone: 'a', changedAt: 1}], refused: ['1 not-found']},
	{name: 'releasing an unknown zone is refused', commands: [{kind: 'zoneReleased', zone: 'a', reason: 'declared-lost'}], refused: ['1 not-found']},
	{name: 'settling a policy at another change is refused', commands: [opened, {kind: 'policyChanged', service, policy}, {kind: 'policySettled', service, changedAt: 1}], refused: ['3 conflict']},
];

function describeSlot(state: OwnershipState, slot: number): string {
	const assignment = assignmentOf(state, service, slot);
	if (assignment === undefined || assignment.phase === 'vacant') {
		return assignment?.phase ?? 'none';
	}

	const revocation = assignment.phase === 'revoking' ? ` revoked@${assignment.revokedAt}` : '';
	return `${assignment.owner.name}@${assignment.fence}${revocation}`;
}

for (const {name, commands, refused = [], slots = {}} of cases) {
	test(`table: ${name}`, () => {
		const result = applyAll(commands);
		assert.deepEqual(result.refused, refused);
		for (const [slot, expected] of Object.entries(slots)) {
			assert.equal(describeSlot(result.state, Number(slot)), expected, `slot ${slot}`);
		}
	});
}

test('table: a pinned key is found by its hash and its name', () => {
	const {state} = applyAll([opened, granted, pinned]);
	const assignments = state.services[service];
	assert.ok(assignments);
	assert.deepEqual([slotFor(assignments, 0, 'A2'), slotFor(assignments, 0, 'A3'), slotFor(assignments, 1, 'A2')], [4, 0, 1]);
});

test('table: a change shares the unchanged parts of the state', () => {
	const {state} = applyAll([opened, {...opened, service: 'other'}, granted]);
	const result = applyOwnership(state, revoked, 4);
	assert.ok(result.isOk);
	assert.equal(result.value.services.other, state.services.other);
	assert.equal(result.value.rosters, state.rosters);
});
