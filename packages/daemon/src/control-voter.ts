/**
 * The voter of the control state, and the answers to what it commits.
 */
import {type ControlAccepted} from '@dogwooddeck/control/state';
import {type Failure} from '@dogwooddeck/model/failure';
import {type Committed, type VoterRunner} from '@dogwooddeck/replica/voter-runner';
import {ok, type Result} from 'true-myth/result';

/** A voter whose log drives the control state. */
export type ControlVoter = VoterRunner<ControlAccepted>;

/** A control command's place in the log and its answers. */
export type ControlCommitted = Committed<ControlAccepted>;

/** The first of an entry's answers. */
export function firstAnswer({index, answers}: ControlCommitted): Result<ControlAccepted, Failure> {
	return answers[0] ?? ok({index});
}
