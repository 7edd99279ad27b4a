/**
 * An instance's view of its availability zone: the roster in the table that it
 * has applied, and the steward that another instance last named.
 */
import {type InstanceName} from '@dogwooddeck/model/identifiers';
import {type InstanceRecord} from '@dogwooddeck/model/registry';
import {type ControlHolder} from './control-holder.js';

export type ZoneView = {
	readonly members: () => readonly InstanceRecord[];
	readonly others: () => readonly InstanceRecord[];
	readonly memberNamed: (name: InstanceName | undefined) => InstanceRecord | undefined;
	/** The cached steward, if any. */
	readonly steward: () => InstanceRecord | undefined;
	/** Records the steward that another instance named. Ignores a name that isn't a member's. */
	readonly recordSteward: (name: InstanceName | undefined) => void;
	/** Replaces a cached steward that turned out not to be one by a member that may be. */
	readonly assumeSteward: (member: InstanceRecord | undefined) => void;
};

/** Creates a view without a cached steward. */
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
		recordSteward(name) {
			steward = memberNamed(name) ?? steward;
		},
		assumeSteward(member) {
			steward = member?.name === self.name ? undefined : member;
		},
	};
}
