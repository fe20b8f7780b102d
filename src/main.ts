#!/usr/bin/env node
import { main } from './cli/cli.ts';

void main(process.argv);
