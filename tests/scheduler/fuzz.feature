Feature: Jobs under random combinations of faults

  Scenario: No sequence of faults loses a task of a job or runs it twice
    # Daemons, workers, links and the store fail in any order; an oracle tracks runs.
    Then the machine "jobs" finds nothing in 25 runs of 20 steps

  Scenario: The oracle detects a run that is declared lost too early
    # Planted fault: the runs of a silent worker are declared lost before its lease has
    # expired.
    Then with the planted fault "runs given up early" the machine "jobs" fails

  Scenario: The oracle detects a false refusal
    # Planted fault: a job whose acceptance may be stored is refused as never to run.
    Then with the planted fault "refusals without proof" the machine "jobs" fails

  Scenario: Some entry places tasks whichever scheduler has failed
    # Entries with thin links and many stored jobs lose one scheduler after another.
    Then the machine "takeovers" finds nothing in 25 runs of 12 steps

  Scenario: The oracle detects take-overs that cause the next one
    # Planted fault: a holder does not renew the lease row while it loads.
    Then with the planted fault "holders silent while they load" the machine "takeovers" fails

  Scenario: The oracle detects runs that a lost worker holds forever
    # Planted fault: an attendant that cannot reach its worker extends its lease.
    Then with the planted fault "leases renewed for workers out of reach" the machine "jobs" fails

  Scenario: No sequence of faults starts anything in an evacuated data centre
    # The same faults while the operator evacuates and workers refuse starts.
    Then the machine "evacuated jobs" finds nothing in 25 runs of 20 steps

  Scenario: The oracle detects a start in an evacuated data centre
    # Planted fault: an attendant does not judge the starts that it was ordered.
    Then with the planted fault "starts without judgement" the machine "evacuated jobs" fails

  Scenario: No sequence of faults starts a rejected run after all
    # The same faults while rejections are interrupted by restarts and delays.
    Then the machine "refused jobs" finds nothing in 25 runs of 20 steps

  Scenario: The oracle detects a rejection accepted in a later session
    # Planted fault: the scheduler accepts a rejection whatever session it was made in.
    Then with the planted fault "rejections accepted in any session" the machine "refused jobs" fails in runs of 5 steps

  Scenario: The oracle detects a rejection that is not repeated
    # Planted fault: an attendant ignores a repeated order for a run that it rejected.
    Then with the planted fault "rejections made once" the machine "refused jobs" fails in runs of 5 steps

  Scenario: The oracle detects a rejection forgotten with the lease
    # Planted fault: an attendant forgets rejections when its worker's lease expires.
    Then with the planted fault "rejections forgotten with the lease" the machine "refused jobs" fails

  Scenario: No sequence of faults leaves a task to nobody
    # The same faults beside services, while attendants restart and speed limits are late.
    Then the machine "paced jobs" finds nothing in 25 runs of 12 steps

  Scenario: The oracle detects a run whose attendant does not know it
    # Planted fault: an attendant does not ask for the orders that it lacks.
    Then with the planted fault "orders lacked and not asked for" the machine "paced jobs" fails in runs of 12 steps

  Scenario: No sequence of faults starts a task that has failed too often
    # Tasks fail on workers that restart unnoticed and carry out starts sent before.
    Then the machine "failing jobs" finds nothing in 25 runs of 12 steps

  Scenario: The oracle detects a start that a new incarnation carries out late
    # Planted fault: no token is raised when another incarnation of a worker answers.
    Then with the planted fault "earlier calls not fenced off" the machine "failing jobs" fails in runs of 5 steps

  Scenario: No task runs twice as processes that know of its runs are replaced
    # Attendants and schedulers are replaced while a worker that restarted is unheard.
    Then the machine "replaced jobs" finds nothing in 40 runs of 4 steps

  Scenario: The oracle detects a lease that no process is left to know
    # Planted fault: an attendant counts only the leases that its predecessor issued.
    Then with the planted fault "leases taken unheard" the machine "replaced jobs" fails in runs of 2 steps

  Scenario: No sequence of faults ends tasks because connections become silent
    # The same faults while open connections carry nothing more and new ones work.
    Then the machine "silenced jobs" finds nothing in 10 runs of 15 steps

  Scenario: The oracle detects silent connections that are tried one after the other
    # Planted fault: a timeout closes no other connections to the peer.
    Then with the planted fault "timeouts without conclusions" the machine "silenced jobs" fails

  Scenario: No sequence of faults lets one refused row stop other jobs
    # The same faults while the store refuses rows of jobs and of the scheduler for good.
    Then the machine "unstorable jobs" finds nothing in 15 runs of 12 steps

  Scenario: The oracle detects refused writes that are repeated for good
    # Planted fault: a refused write counts as one that the store cannot execute now.
    Then with the planted fault "refused writes repeated" the machine "unstorable jobs" fails in runs of 5 steps

  Scenario: No sequence of faults lets processes that live take one another for ended
    # The same faults while processes refuse, reset and do not answer one another.
    Then the machine "parted jobs" finds nothing in 20 runs of 4 steps

  Scenario: The oracle detects leases that a successor does not reckon with
    # Planted fault: a holder counts its leases from its last write only.
    Then with the planted fault "leases beyond what standbys heard" the machine "parted jobs" fails in runs of 1 steps
