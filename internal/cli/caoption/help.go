package caoption

// Help is the text that --help prints.
const Help = `celeryarch schedules work on a cluster.

usage: celeryarch [--json] COMMAND [OPTION...]

  -h, --help                 show this text
      --version              show the version
      --json                 print answers and errors as JSON

run
  demo                       run an entry and stand-ins on loopback
      --api=ADDRESS          listen for callers here (127.0.0.1:7100)
      --upstreams=N          number of stand-in upstreams (4)
  entry                      run an entry
      --settings=PATH        file or folder of settings; required
  node                       run an entry on the platform of the users
      --settings=PATH        settings file of the platform (the one that the
                             platform names in the environment)
      --advertise=ADDRESS    address at which other entries reach this one
                             (where it listens for them)
      --metrics=PORT         serve metrics on this port
      --check                check the settings and exit
  soak                       run entries as processes on loopback, injure them
                             and check what is promised
      --seed=N               seed of the first plan of faults (1)
      --seeds=N              number of plans (1)
      --together=N           plans at the same time (1)
      --during=TIME          how long load and faults last (20s)
      --nodes=N              entries (5)
      --upstreams=N          upstreams (8)
      --shards=N             shards; 0 leaves them to the entries (0)
      --plain                no added kinds of fault, such as deadly jobs
      --dir=PATH             keep settings and logs in this folder
      --previous=PATH        program of an earlier build, started in turn with
                             this one
      --load=PATH            workload in JSON with comments in place of the
                             small jobs of the soak
      --planned              planned work only (stops, SIGHUP, configurations),
                             beside which no call may be cut
      --program=PATH         program of the entries (this one)
  standin log                run a stand-in of the log service
      --listen=ADDRESS       listen here; required
      --retention=TIME       keep records for this time (1h)
  standin vms                run a stand-in of the list of VMs
      --listen=ADDRESS       listen here; required
      --file=PATH            list of VMs as JSON; required
      --lag=TIME             answer with the list of this long ago (1s)
  standin upstream           run a stand-in of an upstream
      --listen=ADDRESS       listen here; required
      --id=ID                id of the VM; required
      --zone=ZONE            availability zone; required
      --rack=RACK            rack
      --processors=CORES     processors (1)
      --memory=BYTES         memory with its unit (256MiB)
      --accelerators=N       accelerators (0)
      --accelerator-kind=KIND  kind of the accelerators
      --slots=N              requests that run at once (8)
      --connections=N        connections at once (64)

configuration
  config check DIR           check a folder of configuration files
  config diff DIR            show what would change in the version in force
  config publish DIR         put the folder in force
      --log=URL              log service (environment CELERYARCH_LOG)
      --timeout=TIME         give up after this time (30s)
      --base=VERSION         publish only if this version is in force
      --change-id=ID         take up a publication whose answer was lost
      --reset                publish whatever is in force, also when the log
                             no longer tells it
      --wait=TIME            wait until it is in force in all entries that the
                             one of --operators knows
      --operators=URL        as for status
  key new                    generate a key; it is shown only once
      --team=TEAM            team that the key stands for; required
      --dir=DIR              add a file that grants the key to this folder
  key withdraw KEY_ID        add a file that withdraws the key to a folder
      --dir=DIR              folder of configuration files; required

work
  status                     show the cell as an entry sees it
      --operators=URL        address of an entry for operators (environment
                             CELERYARCH_OPERATORS; http://127.0.0.1:7102)
      --timeout=TIME         give up after this time (30s)
  submit                     submit a job, or run a request with --kind=lookup
      --kind=KIND            lookup, batch, service or gang (batch)
      --tasks=N              number of tasks (1)
      --processors=CORES     processors of a task (1)
      --memory=BYTES         memory of a task with its unit (256MiB)
      --accelerators=N       accelerators of a task (0)
      --run-time=TIME        how long a task is expected to run
      --deadline=TIME        give up when the work has not started by then
      --urgent               before the other work of the team
      --idempotent           the work may run again when its outcome is unknown
      --max-attempts=N       most attempts of a task
      --zone=ZONE            run only in this availability zone
      --rack=RACK            run only in this rack
      --accelerator-kind=KIND  run only with this kind of accelerators
      --payload=JSON         what the task receives; @FILE reads a file
      --idempotency-key=ID   submissions with the same id are one job
      --wait=TIME            wait for the outcome up to this time
  get JOB_ID                 show a job
      --wait=TIME            wait for the outcome up to this time
  cancel JOB_ID              cancel a job
  load                       offer load to an entry and measure it
      --rate=PER_SECOND      offered load (100)
      --duration=TIME        how long (10s)
      --concurrency=N        most calls at once (64)
      --kind=KIND            kind of work (lookup)
      --seed=N               seed of the random choices (1)
  explain LOG...             tell from logs of entries what became of jobs, and
                             where the late ones lost their time
      --job=ID               the time line of this job
      --queue=NAME           only jobs of this queue
      --team=TEAM            only jobs of this team
      --from=TIME            only jobs handed in later, from the first line on
      --to=TIME              only jobs handed in earlier
      --window=TIME          count jobs in windows of this length (10s)
  check-policy FILE          check a configuration for entries on the platform
                             before it is written to the store
      --in-force=PATH        and show what it changes in this one
      --metrics=URL          and how many accepted jobs have not ended of queues
                             that it removes; give the metrics of all entries
      --timeout=TIME         wait for them at most this long (5s)
  submit, get, cancel and load
      --entry=URL            entry to call (environment CELERYARCH_ENTRY;
                             http://127.0.0.1:7100)
      --key=KEY              key of the team; better given as CELERYARCH_KEY,
                             since others can see arguments
      --queue=NAME           queue open to all, in place of a key
      --timeout=TIME         give up after this time (30s)

times have a unit: 500ms, 2s, 5m, 1h. Amounts of memory too: 512MiB, 4GiB.

exit codes
  0 ok             1 internal        2 usage          3 invalid
  4 conflict       5 denied          6 unavailable    7 not_found
  8 failed         9 not_run        10 unknown       11 canceled
  12 pending, the wait is over without an outcome
`
