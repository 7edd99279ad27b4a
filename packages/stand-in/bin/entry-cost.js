#!/usr/bin/env node
import process from 'node:process';
import {main} from '../dist/src/entry-cost.js';

await main(process.argv.slice(2));
