/**
 * Enables the output of `roarr`: it reads this variable once, when it is loaded,
 * and writes nothing without it. Import this module before `roarr`.
 */
import process from 'node:process';

process.env.ROARR_LOG = 'true';
