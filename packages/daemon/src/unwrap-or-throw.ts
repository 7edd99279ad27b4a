/**
 * Converts failed results to exceptions, for a startup that can't continue without the
 * value.
 */
import {type Failure, FailureError} from '@dogwooddeck/model/failure';
import {type Result} from 'true-myth/result';

/** Returns the value of a result. Throws a `FailureError` if the result is a failure. */
export function unwrapOrThrow<Value>(result: Result<Value, Failure>): Value {
	if (result.isErr) {
		throw new FailureError(result.error);
	}

	return result.value;
}
