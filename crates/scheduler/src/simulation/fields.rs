//! Checks the validation of submissions field by field at every node, also at a node that has just started
//! and for repeated submissions.

#![cfg(test)]

use super::days::fields::{
    MAY_BE_NULL, RefusedSubmission, ask, refused, restart_without_machine_types, submit,
};
use super::{Event, Fault, NODES, Simulation, job};
use crate::node::Method;
use serde_json::Value;

#[test]
fn every_node_refuses_submissions_that_cannot_run_or_lack_a_field() {
    let mut simulation = Simulation::new(9_100);
    simulation.run_until(5_000);
    for RefusedSubmission { body, status } in refused() {
        for node in 0..NODES {
            let answered = submit(&mut simulation, node, &body);
            assert_eq!(answered, status, "node {node}: {body:.400}");
        }
    }
    assert!(simulation.state.key("j/req-000001").is_none());
    // Accepted: a submission that meets the limits exactly, and one without the optional fields.
    let mut number = 10;
    for node in 0..NODES {
        let mut body = job(number, "ensemble", 12);
        body["owner"] = "red".into();
        assert_eq!(submit(&mut simulation, node, &body.to_string()), 201, "{body}");
        let mut bare = job(number + 1, "array", 1);
        for field in MAY_BE_NULL {
            bare.as_object_mut().expect("an object").remove(field);
        }
        assert_eq!(submit(&mut simulation, node, &bare.to_string()), 201, "{bare}");
        number += 2;
    }
}

/// A repeated submission of a known job gets the job's state at every node, even if its content is now
/// invalid.
#[test]
fn repeated_submission_of_a_known_job_is_never_refused() {
    let mut simulation = Simulation::new(9_101);
    simulation.run_until(5_000);
    assert_eq!(submit(&mut simulation, 0, &job(1, "array", 2).to_string()), 201);
    let bodies = refused().into_iter().map(|submission| submission.body);
    for body in bodies.filter(|body| body.contains("\"req-000001\"") && body.starts_with('{')) {
        if serde_json::from_str::<Value>(&body).is_err() {
            continue; // a body that is not JSON has no ID
        }
        for node in 0..NODES {
            assert_eq!(submit(&mut simulation, node, &body), 200, "node {node}: {body:.400}");
        }
    }
}

/// A node that starts during an outage of the cloud does not know the machine types. It accepts no job, and
/// answers 503 where the decision depends on the machine types.
#[test]
fn node_without_machine_types_accepts_no_job() {
    let mut simulation = Simulation::new(9_102);
    restart_without_machine_types(&mut simulation);
    for node in 0..NODES {
        assert_eq!(submit(&mut simulation, node, &job(1, "array", 2).to_string()), 503);
        for RefusedSubmission { body, status } in refused() {
            let answered = submit(&mut simulation, node, &body);
            let undecided = status == 422 && answered == 503;
            assert!(answered == status || undecided, "node {node}: {answered} for {body:.300}");
        }
    }
    assert!(simulation.state.key("j/req-000001").is_none());
    simulation.at(simulation.now, Event::Fault(Fault::CloudOutage(false)));
    simulation.run_until(simulation.now + 20_000);
    assert_eq!(submit(&mut simulation, 0, &job(1, "array", 2).to_string()), 201);
}

#[test]
fn unknown_jobs_get_404_and_cancelling_a_done_job_leaves_it_done() {
    let mut simulation = Simulation::new(9_103);
    simulation.add_user(2_000, job(1, "array", 1), None);
    simulation.run_until(30_000);
    assert_eq!(simulation.rules.terminal_status("req-000001"), Some("done"));
    for node in 0..NODES {
        for path in [
            "/submissions/req-777",
            "/submissions/job-1",
            "/submissions/req-1%2f2",
            "/submissions/req-000001x",
        ] {
            assert_eq!(ask(&mut simulation, node, Method::Get, path, ""), 404, "{path}");
            assert_eq!(
                ask(&mut simulation, node, Method::Post, &format!("{path}/withdraw"), ""),
                404,
                "{path}"
            );
        }
        for (method, path) in
            [(Method::Post, "/submissions/req-000001/withdraw"), (Method::Get, "/submissions/req-000001")]
        {
            assert_eq!(ask(&mut simulation, node, method, path, ""), 200);
            assert!(
                simulation.answers.last().is_some_and(|answer| answer.body.contains("\"done\"")),
                "{path}"
            );
        }
    }
}
