#!/usr/bin/env node
import {main} from '../dist/src/control-cost.js';

await main();
