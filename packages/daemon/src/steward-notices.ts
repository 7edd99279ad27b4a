/**
 * Notifies the zones' stewards of new log entries, so that they fetch them before
 * their next renewal is due.
 */
import {type ControlState} from '@dogwooddeck/control/state';
import {type InstanceName, type Milliseconds, type ZoneName} from '@dogwooddeck/model/identifiers';
import {type PeerClients} from '@dogwooddeck/wire/client';

/** The leader's notifications to stewards. */
export type StewardNotices = {
	/** Records a steward that requested its zone's delegation. */
	readonly recordSteward: (zone: ZoneName, steward: InstanceName) => void;
	/** Notifies all recorded stewards of the applied index. */
	readonly send: (control: ControlState) => void;
};

const noticeTimeoutMilliseconds: Milliseconds = 1000;

export function createStewardNotices(self: InstanceName, clients: PeerClients): StewardNotices {
	const stewards = new Map<ZoneName, InstanceName>();
	return {
		recordSteward(zone, steward) {
			stewards.set(zone, steward);
		},
		send({ownership, applied}) {
			for (const [zone, name] of stewards) {
				const steward = ownership.rosters[zone]?.members.find(member => member.name === name);
				if (steward !== undefined && name !== self) {
					void clients.call(steward.peerAddress, 'notify', applied, noticeTimeoutMilliseconds);
				}
			}
		},
	};
}
