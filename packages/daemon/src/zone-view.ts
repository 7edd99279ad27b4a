/**
 * What an instance knows of its availability zone: the roster in the table that
 * it has applied, and who is steward as far as it heard.
 */
import {type InstanceName} from '@dogwooddeck/model/identifiers';
import {type InstanceRecord} from '@dogwooddeck/model/registry';
import {type ControlHolder} from './control-holder.js';

/** An instance's view of its zone. */
export type ZoneView = {
	readonly members: () => readonly InstanceRecord[];
	readonly others: () => readonly InstanceRecord[];
	readonly memberNamed: (name: InstanceName | undefined) => InstanceRecord | undefined;
	/** The steward, as far as it is known. */
	readonly steward: () => InstanceRecord | undefined;
	/** Another instance named the steward. A name that is no member's changes nothing. */
	readonly heardOfSteward: (name: InstanceName | undefined) => void;
	/** The steward that was known is none; another member may be it. */
	readonly guessSteward: (member: InstanceRecord | undefined) => void;
};

/** Makes the view of an instance that has heard of no steward. */
export function createZoneView(self: InstanceRecord, holder: ControlHolder): ZoneView {
	let steward: InstanceRecord | undefined;

	function members(): readonly InstanceRecord[] {
		return holder.state().ownership.rosters[self.zone]?.members ?? [];
	}

	function memberNamed(name: InstanceName | undefined): InstanceRecord | undefined {
		return members().find(member => member.name === name);
	}

	return {
		members,
		others: () => members().filter(member => member.name !== self.name),
		memberNamed,
		steward: () => steward,
		heardOfSteward(name) {
			steward = memberNamed(name) ?? steward;
		},
		guessSteward(member) {
			steward = member?.name === self.name ? undefined : member;
		},
	};
}
