#!/usr/bin/env node
import process from 'node:process';
import {main} from '../dist/src/quickstart.js';

await main(process.argv.slice(2));
