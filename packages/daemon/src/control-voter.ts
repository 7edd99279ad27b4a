/**
 * Types of the voter that replicates the control state, and of its commit results.
 */
import {type ControlAccepted} from '@dogwooddeck/control/state';
import {type Failure} from '@dogwooddeck/model/failure';
import {type Committed, type VoterRunner} from '@dogwooddeck/replica/voter-runner';
import {ok, type Result} from 'true-myth/result';

/** A voter whose log drives the control state. */
export type ControlVoter = VoterRunner<ControlAccepted>;

/** The log index of a committed entry and the results of its commands. */
export type ControlCommitted = Committed<ControlAccepted>;

/** Returns the result of an entry's first command. An entry without commands is accepted at its index. */
export function firstAnswer({index, answers}: ControlCommitted): Result<ControlAccepted, Failure> {
	return answers[0] ?? ok({index});
}
