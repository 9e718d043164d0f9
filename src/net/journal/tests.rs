use myrtleyard::interface::DedupScope;

use super::*;

fn taken(size: usize) -> AcceptedMessage {
    AcceptedMessage {
        id: "id".into(),
        key: Some("key".into()),
        class: "note".into(),
        owner: None,
        effect: None,
        destination: 7,
        deadline: 1_000,
        body: vec![b'x'; size].into(),
    }
}

const LARGEST_EFFECT: Effect = Effect::Keyed { group: DedupScope::Endpoint, window: u64::MAX };

fn begun(message: u32, attempt: u16) -> Record {
    Record::AttemptBegun { message, attempt, endpoint: "e1".into(), at: 5 }
}

#[test]
fn appended_records_are_read_back() -> io::Result<()> {
    let folder = tempfile::tempdir()?;
    let mut journal = Journal::open(folder.path(), 1_000_000)?;
    journal.append(&[Record::Accepted(1, taken(3)), begun(1, 0), Record::Accepted(2, taken(0))])?;
    journal.append(&[Record::AttemptEnded { message: 1, attempt: 0, never_ran: true }, begun(1, 2)])?;
    journal.append(&[Record::Closed(2), Record::Accepted(3, taken(1))])?;
    journal.append(&[Record::GivenUp(3, GivenUp::Deferred(9))])?;
    let again = Journal::open(folder.path(), 1_000_000)?;
    assert_eq!(again.pending(), journal.pending());
    let attempts: Vec<_> = again.pending()[&1].attempts.iter().map(|a| (a.number, a.never_ran)).collect();
    assert_eq!(attempts, [(0, true), (2, false)]);
    assert_eq!(again.pending()[&3].given_up, Some(GivenUp::Deferred(9)));
    assert_eq!(again.pending().keys().copied().collect::<Vec<_>>(), [1, 3]);
    Ok(())
}

/// The effect in force when a message was accepted must survive a restart and a compaction. Records of older
/// versions have none.
#[test]
fn effect_survives_restart_and_compaction() -> io::Result<()> {
    let folder = tempfile::tempdir()?;
    let limit = 20_000;
    let mut journal = Journal::open(folder.path(), limit)?;
    let with = AcceptedMessage { effect: Some(LARGEST_EFFECT), ..taken(3) };
    let records: Vec<_> = acceptance_records(1, &with).chain(acceptance_records(2, &taken(3))).collect();
    journal.append(&records)?;
    while journal.length <= limit / 2 {
        journal.append(&acceptance_records(3, &taken(900)).chain([Record::Closed(3)]).collect::<Vec<_>>())?;
    }
    journal.compact()?;
    let again = Journal::open(folder.path(), limit)?;
    let effects: Vec<_> = again.pending().values().map(|live| live.accepted.effect).collect();
    assert_eq!(effects, [Some(LARGEST_EFFECT), None]);
    Ok(())
}

/// A process killed during a write leaves a torn record. Earlier records must still be read, and so must
/// records appended later.
#[test]
fn torn_tail_is_truncated_at_any_length() -> io::Result<()> {
    let folder = tempfile::tempdir()?;
    let path = folder.path().join("journal");
    Journal::open(folder.path(), 1_000_000)?.append(&[Record::Accepted(1, taken(3))])?;
    let whole = fs::read(&path)?;
    Journal::open(folder.path(), 1_000_000)?.append(&[Record::Accepted(2, taken(3))])?;
    let both = fs::read(&path)?;
    for torn in whole.len()..both.len() {
        fs::write(&path, &both[..torn])?;
        let mut journal = Journal::open(folder.path(), 1_000_000)?;
        assert_eq!(journal.pending().len(), 1, "{torn}");
        journal.append(&[Record::Accepted(3, taken(3))])?;
        assert_eq!(Journal::open(folder.path(), 1_000_000)?.pending().len(), 2, "{torn}");
    }
    let mut bad = both.clone();
    bad[whole.len() + FRAME_HEADER] ^= 1;
    fs::write(&path, &bad)?;
    assert_eq!(Journal::open(folder.path(), 1_000_000)?.pending().len(), 1, "a changed byte");
    Ok(())
}

/// The old and the new file of a compaction together must stay within the disk limit, however many messages
/// pass.
#[test]
fn old_and_new_file_together_stay_within_the_limit() -> io::Result<()> {
    let folder = tempfile::tempdir()?;
    let limit = 50_000;
    let mut journal = Journal::open(folder.path(), limit)?;
    let mut live = Vec::new();
    let mut longest = 0;
    for n in 0..2_000 {
        let message = taken(n as usize % 900);
        if !journal.has_capacity(&message, 0) {
            journal.append(&[Record::Closed(live.remove(0))])?;
            continue;
        }
        let before = journal.length;
        journal.append(&[Record::Accepted(n, message), begun(n, 0)])?;
        if journal.length < before {
            assert!(before + journal.length <= limit, "{before} and {}", journal.length);
        }
        longest = longest.max(before);
        live.push(n);
    }
    assert!(live.len() > 3 && longest > limit / 2, "{} live, {longest} long", live.len());
    let again = Journal::open(folder.path(), limit)?;
    assert_eq!(again.pending(), journal.pending());
    assert_eq!(again.pending().keys().copied().collect::<Vec<_>>(), live);
    Ok(())
}

/// A message that ended must be known by its id after a restart and after compactions; the number of ids is
/// bounded, and with it the file.
#[test]
fn finished_ids_survive_restart_and_compaction_within_the_limit() -> io::Result<()> {
    let folder = tempfile::tempdir()?;
    let limit = 100_000;
    let mut journal = Journal::open(folder.path(), limit)?;
    let message = |id: String| AcceptedMessage { id, ..taken(3) };
    let end = |number: u32| match number % 4 {
        0 => vec![Record::Finished(number, Finish::Accepted)],
        1 => vec![Record::Finished(number, Finish::Failed)],
        2 => vec![Record::GivenUp(number, GivenUp::Undeliverable), Record::Closed(number)],
        _ => vec![Record::GivenUp(number, GivenUp::Deferred(0)), Record::Closed(number)],
    };
    let expected = |number: u32| match number % 4 {
        0 => Some(Finish::Accepted),
        1 | 2 => Some(Finish::Failed),
        _ => None,
    };
    let count = 4_000;
    for number in 0..count {
        journal.append(&acceptance_records(number, &message(format!("id {number}"))).collect::<Vec<_>>())?;
        journal.append(&end(number))?;
        assert!(folder_size(folder.path())? <= limit);
    }
    let remembered = u32::try_from(finished_bytes(limit) / 17).expect("a small number");
    for journal in [journal, Journal::open(folder.path(), limit)?] {
        for number in count - remembered..count {
            assert_eq!(journal.finished(&format!("id {number}")), expected(number), "{number}");
        }
        assert_eq!(journal.finished("id 0"), None, "the oldest are dropped");
    }
    Ok(())
}

fn folder_size(folder: &Path) -> io::Result<u64> {
    fs::read_dir(folder)?.map(|entry| Ok(entry?.metadata()?.len())).sum()
}
