// Tests the proxy with unmodified client libraries, cassandra-driver and pg, while a store fails. Starts the toy and
// the proxy of the build in ../../build, and stops them at the end. Exits with 1 if any check fails.
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import cassandra from 'cassandra-driver';
import pg from 'pg';

const root = new URL('../..', import.meta.url).pathname;
const start = (program, args, env = {}) =>
  spawn(`${root}build/${program}`, args, { cwd: root, env: { ...process.env, ...env }, stdio: ['ignore', 'ignore', 'ignore'] });

let failures = 0;
function check(what, isOk, detail = '') {
  if (!isOk) failures += 1;
  console.log(`${isOk ? 'ok  ' : 'BAD '} ${what}${detail ? `: ${detail}` : ''}`);
}

const toy = start('reedchute_toy', ['serve']);
await sleep(300);
const proxy = start('reedchute', ['--settings', 'example/cassandra.hcl'], { LB_CONFIG: 'example/config.json' });
await sleep(700);

const client = new cassandra.Client({
  contactPoints: ['127.0.0.1:7442'],
  localDataCenter: 'dc1',
  keyspace: 'weather',
  encoding: { set: Set },
});
let number = 0;
const payload = (workload, idempotencyKey) => ({
  customPayload: Object.fromEntries(
    Object.entries({ id: `node-${(number += 1)}`, c: workload, d: '3000', cluster: '1', ...(idempotencyKey ? { k: idempotencyKey } : {}) })
      .map(([name, value]) => [name, Buffer.from(value)])),
});

try {
  await client.connect();
  check('connects', true, `${client.hosts.length} host, protocol v${client.controlConnection.protocolVersion}`);

  const plain = await client.execute("SELECT payload FROM weather.entries WHERE ref = 'hello'");
  check('a plain read, mapped by keyspace', plain.rows[0].payload === 'value of hello');

  const unqualified = await client.execute("SELECT payload FROM entries WHERE ref = 'bare'");
  check('a bare name in the keyspace of the client', unqualified.rows[0].payload === 'value of bare');

  let correct = 0;
  for (let k = 0; k < 50; k += 1) {
    const got = await client.execute('SELECT payload FROM weather.entries WHERE ref = ?', [`k${k}`], { prepare: true });
    correct += got.rows[0].payload === `value of k${k}`;
  }
  check('prepared reads', correct === 50, `${correct} of 50`);

  const results = await Promise.all(Array.from({ length: 500 }, (_, k) =>
    client.execute('SELECT payload FROM weather.entries WHERE ref = ?', [`t${k}`], { prepare: true })
      .then((got) => got.rows[0].payload === `value of t${k}`, (error) => error.code)));
  const completed = results.filter((one) => one === true).length;
  const rejected = results.filter((one) => one === cassandra.types.responseErrorCodes.overloaded).length;
  check('500 at once, each its own or rejected', completed + rejected === 500, `${completed} completed, ${rejected} rejected`);

  const pages = [];
  for await (const row of client.stream('SELECT payload FROM weather.entries WHERE ref = ?', ['pages3'],
    { prepare: true, fetchSize: 1, autoPage: true })) pages.push(row.payload);
  check('a read of three pages', pages.join() === 'page 1,page 2,page 3', pages.join());

  await client.batch([
    { query: 'INSERT INTO weather.entries (ref) VALUES (?)', params: ['b1'] },
    { query: 'INSERT INTO weather.entries (ref) VALUES (?)', params: ['b2'] },
  ], { prepare: true, ...payload('write', 'mark-1') });
  check('a marked batch of prepared writes', true);

  const withWorkload = await client.execute('SELECT payload FROM weather.entries WHERE ref = ?', ['slow50'],
    { prepare: true, ...payload('near') });
  check('a read with its workload in the custom payload', withWorkload.rows[0].payload === 'value of slow50');

  await client.execute("SELECT payload FROM nowhere.entries WHERE ref = 'a'")
    .then(() => check('what maps to nothing', false), (error) => check('what maps to nothing is refused', error.code === 0x2200));

  const afterFailure = await client.execute('SELECT payload FROM weather.entries WHERE ref = ?', ['die-ok'], { prepare: true });
  check('a read whose store dies', afterFailure.rows[0].payload === 'value of die-ok');
  let correctAfter = 0;
  for (let k = 0; k < 100; k += 1)
    correctAfter += await client.execute('SELECT payload FROM weather.entries WHERE ref = ?', [`a${k}`], { prepare: true })
      .then((got) => got.rows[0].payload === `value of a${k}`, () => false);
  check('reads after it died', correctAfter === 100, `${correctAfter} of 100`);

  const pgClient = new pg.Client({ host: '127.0.0.1', port: 7432, user: 'web', database: 'orders' });
  await pgClient.connect();
  const simple = await pgClient.query("SELECT payload FROM entries WHERE ref = 'pg' /* id=pg-1,c=any,d=3000,cluster=1 */");
  check('pg: a simple query at the other door', simple.rows[0].payload.toString() === 'value of pg');
  await pgClient.query('SELECT payload FROM entries WHERE ref = $1', ['pg'])
    .then(() => check('pg: parameters', false), (error) => check('pg: parameters are told to be unknown here', error.code === '0A000'));
  await pgClient.end().catch(() => {});
} catch (error) {
  check('an unexpected error', false, String(error.stack));
} finally {
  await client.shutdown().catch(() => {});
  proxy.kill('SIGTERM');
  const [code] = await Promise.race([once(proxy, 'exit'), sleep(5000, ['late'])]);
  check('the front ends in order', code === 0);
  toy.kill();
}
process.exit(failures ? 1 : 0);
