/**
 * The header fields that this system adds to HTTP messages, in lower case.
 */
export const HeaderName = {
	/** To an upstream: the fence number of the grant under which the request is sent. */
	fence: 'dogwooddeck-fence',
	/** To an upstream: the remaining time for the request, in milliseconds. */
	deadline: 'dogwooddeck-deadline',
	/** To an upstream: the slot that the key belongs to. */
	slot: 'dogwooddeck-slot',
	/** To a caller: whether the request ran. */
	outcome: 'dogwooddeck-outcome',
	/** From a caller: identifies the operation, so that it runs at most once. */
	idempotencyKey: 'idempotency-key',
	/** To an operator: the revision at which the answer was read. */
	revision: 'dogwooddeck-revision',
} as const;
