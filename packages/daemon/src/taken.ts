/**
 * From results to exceptions, for a start that can't go on without the value.
 */
import {type Failure, FailureError} from '@dogwooddeck/model/failure';
import {type Result} from 'true-myth/result';

/** The value of a result. Throws a `FailureError` where there is none. */
export function taken<Value>(result: Result<Value, Failure>): Value {
	if (result.isErr) {
		throw new FailureError(result.error);
	}

	return result.value;
}
