/**
 * What the parts of an instance's work in its availability zone have in common.
 */
import {type Milliseconds} from '@dogwooddeck/model/identifiers';
import {type InstanceRecord} from '@dogwooddeck/model/registry';
import {type LimitShare} from '@dogwooddeck/model/share';
import {type InFlightTracker} from '@dogwooddeck/ownership/drain';
import {type LeaseTerms} from '@dogwooddeck/ownership/terms';
import {type Log} from '@dogwooddeck/telemetry/log';
import {type PeerClients} from '@dogwooddeck/wire/client';
import {type ControlHolder} from './control-holder.js';
import {type ControlRunner} from './control-runner.js';
import {type ReportCollector} from './report-collector.js';

/** The longest that a call to another instance lasts. */
export const peerMilliseconds: Milliseconds = 500;

/** What each part needs. */
export type ZoneSurroundings = {
	readonly self: InstanceRecord;
	readonly terms: LeaseTerms;
	readonly holder: ControlHolder;
	readonly control: ControlRunner;
	readonly clients: PeerClients;
	readonly flights: InFlightTracker;
	/** What this instance saw. */
	readonly ownReports: ReportCollector;
	/** What this instance passes on as steward. */
	readonly zoneReports: ReportCollector;
	readonly takeShares: (shares: readonly LimitShare[]) => void;
	/** Whether a request waits for the share of a limit. */
	readonly lacksShares: () => boolean;
	readonly log: Log;
};
