/**
 * The tokens under which Nest finds what the controllers need.
 */
export const healthSurfaceToken = Symbol('health surface');

/** The token of the operators' surface. */
export const operatorSurfaceToken = Symbol('operator surface');
