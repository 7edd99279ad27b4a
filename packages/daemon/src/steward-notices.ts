/**
 * Tells the zones' stewards that the log went on, so that they fetch what is
 * new before their next renewal is due.
 */
import {type ControlState} from '@dogwooddeck/control/state';
import {type InstanceName, type Milliseconds, type ZoneName} from '@dogwooddeck/model/identifiers';
import {type PeerClients} from '@dogwooddeck/wire/client';

/** The notices of a leader to stewards. */
export type StewardNotices = {
	/** A steward asked for its zone's delegation. */
	readonly heard: (zone: ZoneName, steward: InstanceName) => void;
	/** Tells all stewards that were heard what is applied. */
	readonly send: (control: ControlState) => void;
};

const noticeMilliseconds: Milliseconds = 1000;

/** Makes the notices of an instance. */
export function createStewardNotices(self: InstanceName, clients: PeerClients): StewardNotices {
	const stewards = new Map<ZoneName, InstanceName>();
	return {
		heard(zone, steward) {
			stewards.set(zone, steward);
		},
		send({ownership, applied}) {
			for (const [zone, name] of stewards) {
				const steward = ownership.rosters[zone]?.members.find(member => member.name === name);
				if (steward !== undefined && name !== self) {
					void clients.call(steward.peerAddress, 'notify', applied, noticeMilliseconds);
				}
			}
		},
	};
}
