//! Invalid lists on a watch: the last valid list stays in force, the list is requested again after a pause, and the
//! next valid list is published.

mod fake_agent;

use discovery::Delivery;
use fake_agent::*;
use rstest::rstest;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::Instant;

/// The defect of a list.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Defect {
    TooLong,
    Truncated,
    InvalidJson,
    DuplicateEndpoint,
    UnknownPhase,
    InvalidAddress,
}

impl Defect {
    fn corrupted_list(self) -> String {
        let complete_list = list(42, true, "draining");
        match self {
            Self::TooLong => {
                complete_list.replacen('[', &format!("[{}", " ".repeat(proto::discovery::MAX_LIST_BYTES)), 1)
            }
            Self::Truncated => complete_list[..complete_list.len() - 2].to_owned(),
            Self::InvalidJson => complete_list.replacen(':', ";", 1),
            Self::DuplicateEndpoint => {
                let member =
                    &complete_list[complete_list.find("{\"host").unwrap()..complete_list.rfind(']').unwrap()];
                complete_list.replacen(member, &format!("{member},{member}"), 1)
            }
            Self::UnknownPhase => complete_list.replacen("draining", "asleep", 1),
            Self::InvalidAddress => complete_list.replacen("10.0.0.1:6379", "nowhere", 1),
        }
    }
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn invalid_list_keeps_last_list_until_next_valid_one(
    #[values(
        Defect::TooLong,
        Defect::Truncated,
        Defect::InvalidJson,
        Defect::DuplicateEndpoint,
        Defect::UnknownPhase,
        Defect::InvalidAddress
    )]
    defect: Defect,
    #[values(Delivery::Push, Delivery::Poll)] delivery: Delivery,
) {
    run_local(async {
        let mut agent = FakeAgent::start(delivery, None);
        agent.next_request().await.respond_with_list(41).await;
        agent.expect_revision(41).await;
        let mut watch = agent.next_watch().await;
        let published = Instant::now();
        let writing = tokio::task::spawn_local(async move {
            // The connection ends after the line, in the middle of a truncated list.
            let line = defect.corrupted_list();
            let text = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
            let _ = watch.stream.write_all(text.as_bytes()).await;
        });
        let mut second_watch = agent.next_watch().await;
        assert_eq!(
            second_watch.path, "/v1/endpoints?watch=1&from=41",
            "the watch resumes from the last published revision"
        );
        let pause = second_watch.at - published;
        // A truncated list counts as a broken watch, not as an invalid list, and is requested again without the longer
        // pause.
        let min_pause = if defect == Defect::Truncated { Duration::ZERO } else { Duration::from_millis(100) };
        assert!(pause >= min_pause && pause <= Duration::from_millis(2_400), "{defect:?}: {pause:?}");
        assert_eq!(agent.ready.borrow().len(), 1, "the endpoint keeps its published state");
        second_watch.send_draining(43).await;
        agent.expect_revision(43).await;
        assert!(agent.ready.borrow().is_empty(), "the valid list applies");
        writing.abort();
    })
    .await;
}
