/**
 * Lets `roarr` write: it reads this variable once, when it is loaded, and is
 * silent without it. Import this module before `roarr`.
 */
import process from 'node:process';

process.env.ROARR_LOG = 'true';
