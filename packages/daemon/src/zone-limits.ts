/**
 * Distributes the zone's reserve of each limit over the zone's instances while this
 * instance is the zone's steward (its elected lease distributor), whether the zone is
 * partitioned or not.
 */
import {allParts, demandedPart, type PartOfLimit} from '@dogwooddeck/control/limit-part';
import {type ControlState} from '@dogwooddeck/control/state';
import {zonePart} from '@dogwooddeck/limits/reserve';
import {
	createZoneSharing, updateParts, grantLimitShares, type SharingState,
} from '@dogwooddeck/limits/sharing';
import {type MonotonicTime, type ZoneName} from '@dogwooddeck/model/identifiers';
import {type Report} from '@dogwooddeck/model/lease';
import {Divider, type LimitShare} from '@dogwooddeck/model/share';

/** The steward's distribution of the reserves. Updated in place. */
export type ZoneLimits = {
	/** Answers the demands of a report that are for the zone, and returns the report without them. `electedAt` is the start of the steward's tenure; a new tenure starts with an empty distribution. */
	readonly answer: (report: Report, control: ControlState, electedAt: MonotonicTime, now: MonotonicTime) => {
		readonly report: Report;
		readonly shares: readonly LimitShare[];
	};
};

/** Creates the distribution of a zone's steward. */
export function createZoneLimits(zone: ZoneName): ZoneLimits {
	let sharing: SharingState = createZoneSharing(-Infinity);
	let lastConfiguration: ControlState['configuration'] | undefined;
	const partOf: PartOfLimit = (contract, contracted, limit) => zonePart(contract, contracted, limit, zone);

	function startTenure(electedAt: MonotonicTime): void {
		if (sharing.startedAt !== electedAt) {
			sharing = createZoneSharing(electedAt);
			lastConfiguration = undefined;
		}
	}

	function updateConfiguration(control: ControlState, now: MonotonicTime): void {
		if (lastConfiguration !== control.configuration) {
			lastConfiguration = control.configuration;
			sharing = updateParts(sharing, allParts(control, partOf), now);
		}
	}

	return {
		answer(report, control, electedAt, now) {
			startTenure(electedAt);
			updateConfiguration(control, now);
			const zoneDemands = report.demands.filter(({divider}) => divider === Divider.zone)
				.map(demand => ({demand, part: demandedPart(control, demand, partOf)}));
			const members = control.ownership.rosters[zone]?.members.length ?? 0;
			const granted = grantLimitShares(sharing, zoneDemands, members, now);
			sharing = granted.state;
			const controlDemands = report.demands.filter(({divider}) => divider === Divider.control);
			return {report: {...report, demands: controlDemands}, shares: granted.shares};
		},
	};
}
